package cleathitch.cli

import cleathitch.peers.PeerClient

/**
 * How this process divides the sockets it may hold. Those for the connections that it opens itself are kept back: without
 * them, a flood of requests would leave it no way to the key-value store, and cost it its lease.
 */
internal class SocketBudget(maxSockets: Int, peerCount: Int) {
    private val peerConnections = peerCount * PeerClient.CONNECTIONS

    /** Calls to workers that may be open at a time. */
    val directCalls = maxOf(1, maxSockets / DIRECT_PART)

    /** Connections that the internal address accepts. */
    val internalConnections = peerConnections + OTHER_SOCKETS

    private val openedHere = directCalls + peerConnections + OTHER_SOCKETS

    /** Connections that the public address accepts. */
    val publicConnections = maxOf(maxSockets / 2, maxSockets - openedHere - internalConnections)

    private companion object {
        /** Direct calls to workers may hold one socket in so many; the rest is for those who connect to this process. */
        const val DIRECT_PART = 10

        /** Key-value store (log, lease and their watches) and cloud hold some 16; twice that is kept for them, listeners and metrics. */
        const val OTHER_SOCKETS = 32
    }
}
