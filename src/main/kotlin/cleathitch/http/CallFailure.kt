package cleathitch.http

/**
 * The stage at which a call failed. If it failed before a connection was acquired, nothing was sent; otherwise the request may have
 * been sent.
 */
enum class CallFailure(val description: String) {
    /** The pool provided no connection within the timeout. */
    NO_CONNECTION_IN_TIME("no connection within the timeout"),

    /** Opening a connection failed, for example because the server refused it. */
    CONNECT_FAILED("opening a connection failed"),

    /** A connection was acquired, but the complete response didn't arrive within the timeout. */
    NO_ANSWER_IN_TIME("no complete response within the timeout"),

    /** The connection was closed or reset before the complete response had arrived. */
    CONNECTION_LOST("the connection was lost before the complete response"),
}
