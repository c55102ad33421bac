package cleathitch.peers

/** The result of a request to another controller. */
sealed interface PeerResult {
    /** The controller's answer, with any [PeerReply.status]. */
    class Answered(val reply: PeerReply) : PeerResult

    /** The connection failed, or the answer isn't a valid peer reply. The controller may have handled the request. */
    data object Unreachable : PeerResult

    /** The controller works, but doesn't accept a request of this content, for example because it is too large; it wasn't handled. */
    data object Rejected : PeerResult

    /** The connection succeeded, but there was no answer in time. The controller may have handled the request. */
    data object TimedOut : PeerResult
}

/** The reply; null if there was none. */
val PeerResult.reply get() = (this as? PeerResult.Answered)?.reply
