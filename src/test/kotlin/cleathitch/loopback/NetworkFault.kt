package cleathitch.loopback

/** What a [FaultyProxy] does to the connections through it. */
enum class NetworkFault {
    NONE,

    /** Open connections stall and new ones aren't accepted, until the fault is over. */
    HOLD,

    /** Open connections stall until the fault is over; new ones are accepted at once, and stall as well. */
    HOLD_DATA,

    /** Data arrives up to a second late. */
    SLOW,

    /** Connections are reset as soon as data is sent. */
    RESET,

    /** Each request is answered with 503, and its connection is closed. */
    REFUSE,
}
