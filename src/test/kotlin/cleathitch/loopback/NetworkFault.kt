package cleathitch.loopback

/** What happens to connections through a [FaultyProxy]. */
enum class NetworkFault {
    NONE,

    /** Connections stay open and new ones wait for acceptance, but nothing gets through until it is over. */
    HOLD,

    /** As [HOLD] for what is sent, while new connections are accepted at once. */
    HOLD_DATA,

    /** Whatever is sent arrives up to a second late. */
    SLOW,

    /** Connections are reset as soon as something is sent. */
    RESET,

    /** Each request is answered with 503. */
    REFUSE,
}
