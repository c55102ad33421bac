package cleathitch.http

/** The result of an HTTP call. */
sealed interface CallResult {
    /** The server's whole answer, whatever its [status]. */
    class Answered(val status: Int, val body: ByteArray) : CallResult

    /** There is no answer, which says nothing about whether the request was carried out. */
    data class Failed(val failure: CallFailure) : CallResult
}

/** The answer, if it has the status [expected]; null for every other answer and for a failed call. */
fun CallResult.answerWith(expected: Int): CallResult.Answered? = (this as? CallResult.Answered)?.takeIf { it.status == expected }
