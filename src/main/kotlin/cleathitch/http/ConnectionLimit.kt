package cleathitch.http

/**
 * Bounds a server's open connections to [max], so that the process keeps sockets for the connections that it opens itself.
 * Without the bound, incoming connections can use up the sockets, and the leader can't renew its lease.
 *
 * Past 95 % of [max] each response closes its connection, so that clients make room for each other; past [max] a new
 * connection is closed at once, and its client tries another controller. Confined to the server's event loop.
 */
class ConnectionLimit(val max: Int) {
    private val keepAliveMax = max - max / RESERVED_SHARE

    /** Connections that are open now, those above [max] that are about to be closed included. */
    var open = 0
        private set

    /** Responses must close their connections. */
    val isNearlyFull get() = open > keepAliveMax

    /** Counts a new connection; false if it must be closed, since there is no room for it. */
    fun recordOpened(): Boolean {
        open++
        return open <= max
    }

    /** Counts the end of a connection, of those for which [recordOpened] was false too. */
    fun recordClosed() {
        open--
    }

    private companion object {
        /** One connection in this many is reserved for clients that arrive while all others are kept alive. */
        const val RESERVED_SHARE = 20
    }
}
