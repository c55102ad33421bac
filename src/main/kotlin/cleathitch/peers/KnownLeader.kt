package cleathitch.peers

/** The leader as a follower knows it. */
data class KnownLeader(val member: String, val term: Long)
