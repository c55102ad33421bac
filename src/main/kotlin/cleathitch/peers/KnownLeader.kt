package cleathitch.peers

/** The leader as a follower knows it: its member name, and its term. */
data class KnownLeader(val member: String, val term: Long)
