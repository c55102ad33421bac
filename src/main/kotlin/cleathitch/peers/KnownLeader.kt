package cleathitch.peers

/** The leader that a follower knows, and its term. */
data class KnownLeader(val member: String, val term: Long)
