package cleathitch.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests the classification of call results, which is the same in the metrics and in the log of outages. */
class CallOutcomeTest {
    private fun outcome(status: Int) = CallOutcome.of(CallResult.Answered(status, ByteArray(0)))

    @Test
    fun `status 429 and server errors are refusals, other statuses are answers`() {
        listOf(429, 500, 503, 599).forEach { assertEquals(CallOutcome.Refused(it), outcome(it)) }
        listOf(200, 204, 400, 404, 409, 421, 428, 430, 499).forEach { assertEquals(CallOutcome.Answered, outcome(it)) }
    }

    @Test
    fun `outcomes have the documented metric tags`() {
        assertEquals("answered", outcome(200).metricTag)
        assertEquals("refused", outcome(503).metricTag)
        val failures = CallFailure.entries.map { CallOutcome.of(CallResult.Failed(it)).metricTag }
        assertEquals(listOf("no_connection_in_time", "connect_failed", "no_answer_in_time", "connection_lost"), failures)
    }
}
