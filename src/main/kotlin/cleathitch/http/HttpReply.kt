package cleathitch.http

/**
 * An HTTP response, ready to be sent by any controller. [retryAfterS] goes out as `Retry-After`, in seconds. With
 * [closesConnection] the server closes the connection after the response, so that a load balancer chooses again.
 */
class HttpReply(val status: Int, val body: ByteArray? = null, val retryAfterS: Int? = null, val closesConnection: Boolean = false)
