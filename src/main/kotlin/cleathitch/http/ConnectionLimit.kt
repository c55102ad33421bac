package cleathitch.http

/**
 * Limits a server's open connections to [max], so that sockets remain for the connections that the process opens itself.
 * Without the limit, incoming connections can exhaust the sockets, and the leader can't renew its lease.
 *
 * Above 95 % of [max], each response closes its connection, which makes room for other clients. Above [max], a new connection is
 * closed at once, and its client tries another controller. Confined to the server's event loop.
 */
class ConnectionLimit(val max: Int) {
    private val maxKeptAlive = max - max / RESERVED_FRACTION_DIVISOR

    /** The number of open connections, including those above [max] that are about to be closed. */
    var openConnections = 0
        private set

    /** Whether responses must close their connections. */
    val isNearlyFull get() = openConnections > maxKeptAlive

    /** Counts a new connection; returns false if the caller must close it because the limit is exceeded. */
    fun recordOpened(): Boolean {
        openConnections++
        return openConnections <= max
    }

    /** Counts a closed connection; required also for those for which [recordOpened] returned false. */
    fun recordClosed() {
        openConnections--
    }

    private companion object {
        /** `max` divided by this is the number of connections that are reserved for new clients; the others may be kept alive. */
        const val RESERVED_FRACTION_DIVISOR = 20
    }
}
