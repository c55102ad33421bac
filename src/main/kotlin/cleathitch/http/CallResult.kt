package cleathitch.http

/** The outcome of an HTTP call. */
sealed interface CallResult {
    class Answered(val status: Int, val body: ByteArray) : CallResult

    /** There is no answer, which says nothing about whether the request was carried out. */
    data class Failed(val failure: CallFailure) : CallResult
}

/** How far a call had come when it failed. */
enum class CallFailure(val description: String) {
    NO_CONNECTION_IN_TIME("no connection in time"),
    CONNECT_FAILED("connecting failed"),
    NO_ANSWER_IN_TIME("no answer in time"),
    CONNECTION_LOST("the connection was lost"),
}

/** The answer, if it has the status [expected]. */
fun CallResult.answerWith(expected: Int): CallResult.Answered? = (this as? CallResult.Answered)?.takeIf { it.status == expected }
