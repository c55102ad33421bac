package cleathitch.peers

/** The outcome of a request to another node. */
sealed interface PeerResult {
    class Answered(val reply: PeerReply) : PeerResult

    /** The connection failed, or what came over it isn't an answer of a node. */
    data object Unreachable : PeerResult
    data object TimedOut : PeerResult
}

/** The answer, if there is one. */
val PeerResult.reply get() = (this as? PeerResult.Answered)?.reply
