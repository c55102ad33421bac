package cleathitch.loopback

/** The fault that a [FaultyProxy] injects into the connections that it relays. */
enum class NetworkFault {
    NONE,

    /** Open connections stall and new ones are not accepted until the fault ends. */
    STALL_ALL,

    /** New connections are accepted, but no connection transfers data until the fault ends. */
    STALL_DATA,

    /** Data is delayed by up to one second. */
    SLOW,

    /** A connection is reset as soon as data is sent on it. */
    RESET,

    /** Each request gets a response with status 503, and its connection is closed. */
    SERVICE_UNAVAILABLE,
}
