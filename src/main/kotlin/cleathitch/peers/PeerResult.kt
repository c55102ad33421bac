package cleathitch.peers

/** The result of a request to another controller. */
sealed interface PeerResult {
    /** The controller's answer, whatever its status. */
    class Answered(val reply: PeerReply) : PeerResult

    /** The connection failed, or the answer isn't one of a controller. The controller may have handled the request. */
    data object Unreachable : PeerResult

    /** A connection was there, but no answer came in time. The controller may have handled the request. */
    data object TimedOut : PeerResult
}

/** The answer, if there is one. */
val PeerResult.reply get() = (this as? PeerResult.Answered)?.reply
