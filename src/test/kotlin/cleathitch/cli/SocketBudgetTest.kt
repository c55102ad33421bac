package cleathitch.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SocketBudgetTest {
    @Test
    fun `sockets for outgoing connections are reserved`() {
        val budget = SocketBudget(maxSockets = 2000, peerCount = 2)
        assertEquals(200, budget.maxDirectCalls)
        assertEquals(64, budget.maxInternalConnections)
        assertEquals(2000 - (200 + 32 + 32) - 64, budget.maxPublicConnections)
    }

    @Test
    fun `with few sockets, half of them are for the public address, and one direct call is possible`() {
        val budget = SocketBudget(maxSockets = 8, peerCount = 2)
        assertEquals(1, budget.maxDirectCalls)
        assertEquals(4, budget.maxPublicConnections)
    }
}
