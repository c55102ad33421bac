package cleathitch.http

/** The outcome of an HTTP call. */
sealed interface CallResult {
    class Answered(val status: Int, val body: ByteArray) : CallResult

    /** There is no answer, which says nothing about whether the request was carried out. */
    data class Failed(val failure: CallFailure) : CallResult
}

/** The answer, if it has the status [expected]. */
fun CallResult.answerWith(expected: Int): CallResult.Answered? = (this as? CallResult.Answered)?.takeIf { it.status == expected }

/** Too many requests, or the server can't serve: worth a try later, unlike other answers. */
internal val CallResult.Answered.isRefusal get() = status == 429 || status >= 500
