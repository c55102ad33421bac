package cleathitch.cli

import cleathitch.peers.PeerClient

/**
 * Divides the sockets that this process may have open. It reserves those for outgoing connections: otherwise a flood of
 * requests could exhaust the sockets, and the leader would lose its lease because it can't connect to the key-value store.
 */
internal class SocketBudget(maxSockets: Int, peerCount: Int) {
    private val peerConnections = peerCount * PeerClient.CONNECTIONS

    /** The maximum number of concurrent direct calls to workers. */
    val maxDirectCalls = maxOf(1, maxSockets / DIRECT_CALL_DIVISOR)

    /** The maximum number of connections to the internal address. */
    val maxInternalConnections = peerConnections + RESERVED_SOCKETS

    private val outgoingConnections = maxDirectCalls + peerConnections + RESERVED_SOCKETS

    /** The maximum number of connections to the public address. */
    val maxPublicConnections = maxOf(maxSockets / 2, maxSockets - outgoingConnections - maxInternalConnections)

    private companion object {
        /** `maxSockets` divided by this is the number for direct calls to workers; most other sockets are for incoming connections. */
        const val DIRECT_CALL_DIVISOR = 10

        /**
         * Clients of the key-value store (log, lease and their watches) and of the cloud use about 16 sockets; twice as many are
         * reserved, which covers listeners and metrics too.
         */
        const val RESERVED_SOCKETS = 32
    }
}
