package cleathitch.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SocketBudgetTest {
    @Test
    fun `the connections that this process opens itself are kept back`() {
        val budget = SocketBudget(maxSockets = 2000, peerCount = 2)
        assertEquals(200, budget.directCalls)
        assertEquals(64, budget.internalConnections)
        assertEquals(2000 - (200 + 32 + 32) - 64, budget.publicConnections)
    }

    @Test
    fun `with few sockets half of them are for the public address, and one direct call stays possible`() {
        val budget = SocketBudget(maxSockets = 8, peerCount = 2)
        assertEquals(1, budget.directCalls)
        assertEquals(4, budget.publicConnections)
    }
}
