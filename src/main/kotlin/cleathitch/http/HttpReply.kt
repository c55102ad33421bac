package cleathitch.http

/** An answer to a user, ready to be sent by any node; with the [last] one its connection ends. */
class HttpReply(val status: Int, val body: ByteArray? = null, val retryAfterS: Int? = null, val last: Boolean = false)
