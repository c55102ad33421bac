package cleathitch.http

/** Why a call to another program yielded nothing that can be used. */
sealed interface ServiceError {
    /** No whole answer came; the request may have been carried out nevertheless. */
    data class NoAnswer(val failure: CallFailure) : ServiceError

    /** The program refused the request, or failed. */
    data class UnexpectedStatus(val status: Int) : ServiceError

    /** The answer's body isn't as the protocol demands; [message] says what is wrong. */
    data class MalformedAnswer(val message: String) : ServiceError

    /** There was no call, since [text] isn't an address. */
    data class InvalidAddress(val text: String) : ServiceError
}
