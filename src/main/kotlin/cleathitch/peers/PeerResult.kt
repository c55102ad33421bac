package cleathitch.peers

/** The result of a request to another node. */
sealed interface PeerResult {
    /** The node's answer, whatever its status. */
    class Answered(val reply: PeerReply) : PeerResult

    /** The connection failed, or the answer isn't one of a node. The node may have handled the request. */
    data object Unreachable : PeerResult

    /** A connection was there, but no answer came in time. The node may have handled the request. */
    data object TimedOut : PeerResult
}

/** The answer, if there is one. */
val PeerResult.reply get() = (this as? PeerResult.Answered)?.reply
