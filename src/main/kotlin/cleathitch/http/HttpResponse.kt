package cleathitch.http

/**
 * The HTTP response to one request. [retryAfterS] becomes the header `Retry-After`, in seconds. If [closesConnection], the server
 * closes the connection after the response, so that the load balancer selects a controller again for the next request.
 */
class HttpResponse(val status: Int, val body: ByteArray? = null, val retryAfterS: Int? = null, val closesConnection: Boolean = false)
