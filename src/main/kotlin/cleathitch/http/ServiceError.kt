package cleathitch.http

/** The reason why a call to another service returned no usable value; `toString` is its text in log lines. */
sealed interface ServiceError {
    /** No complete response arrived; the request may have been carried out nevertheless. */
    data class NoResponse(val failure: CallFailure) : ServiceError {
        override fun toString() = failure.description
    }

    /** The service rejected the request or failed: the response's [status] isn't one that the caller expects. */
    data class UnexpectedStatus(val status: Int) : ServiceError {
        override fun toString() = "unexpected status $status"
    }

    /** The response's body violates the protocol; [message] names the field and the reason. */
    data class MalformedResponse(val message: String) : ServiceError {
        override fun toString() = "malformed response: $message"
    }

    /** No call was made because [text] isn't a valid address. */
    data class InvalidAddress(val text: String) : ServiceError {
        override fun toString() = "invalid address, must be host:port: $text"
    }
}
