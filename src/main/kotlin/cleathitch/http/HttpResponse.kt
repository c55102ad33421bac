package cleathitch.http

/**
 * An HTTP response that any controller can send. [retryAfterS] becomes the header `Retry-After`, in seconds. If
 * [closesConnection], the server closes the connection after the response, so that the load balancer selects a controller anew.
 */
class HttpResponse(val status: Int, val body: ByteArray? = null, val retryAfterS: Int? = null, val closesConnection: Boolean = false)
