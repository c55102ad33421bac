package cleathitch.http

/** Why a call to another program yielded nothing that can be used; its text stands in log lines. */
sealed interface ServiceError {
    /** No whole answer came; the request may have been carried out nevertheless. */
    data class NoAnswer(val failure: CallFailure) : ServiceError {
        override fun toString() = failure.description
    }

    /** The program refused the request, or failed: the answer has a [status] other than those the request expects. */
    data class UnexpectedStatus(val status: Int) : ServiceError {
        override fun toString() = "status $status"
    }

    /** The answer's body isn't as the protocol demands; [message] says what was expected and what was found. */
    data class MalformedAnswer(val message: String) : ServiceError {
        override fun toString() = "malformed answer: $message"
    }

    /** There was no call, since [text] isn't an address. */
    data class InvalidAddress(val text: String) : ServiceError {
        override fun toString() = "invalid address: $text"
    }
}
