package cleathitch.http

/** How far a call had come when it failed. */
enum class CallFailure(val description: String) {
    NO_CONNECTION_IN_TIME("no connection in time"),
    CONNECT_FAILED("connecting failed"),
    NO_ANSWER_IN_TIME("no answer in time"),
    CONNECTION_LOST("the connection was lost"),
}
