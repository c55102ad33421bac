package cleathitch.http

/** The result of an HTTP call. */
sealed interface CallResult {
    /** The server's complete response, whatever its [status]. */
    class Answered(val status: Int, val body: ByteArray) : CallResult

    /** There is no complete response. Whether the request was carried out is unknown, unless [failure] means that it wasn't sent. */
    data class Failed(val failure: CallFailure) : CallResult
}

/** Returns the response if its status is [expected]; null for any other status and for a failed call. */
fun CallResult.responseWithStatus(expected: Int): CallResult.Answered? = (this as? CallResult.Answered)?.takeIf { it.status == expected }
