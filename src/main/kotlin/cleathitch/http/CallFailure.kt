package cleathitch.http

/** The stage at which a call failed. Only before a connection is acquired is it certain that the server got nothing of the request. */
enum class CallFailure(val description: String) {
    /** The pool gave no connection before the timeout. */
    NO_CONNECTION_IN_TIME("no connection in time"),

    /** Opening a connection failed, as when the server refuses it. */
    CONNECT_FAILED("connecting failed"),

    /** A connection was acquired, but the whole answer didn't arrive before the timeout. */
    NO_ANSWER_IN_TIME("no answer in time"),

    /** The connection broke between the request and the end of the answer. */
    CONNECTION_LOST("the connection was lost"),
}
