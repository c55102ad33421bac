package cleathitch.metrics

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ProcessingTimesTest {
    private val meterRegistry = SimpleMeterRegistry()
    private val times = ProcessingTimes(meterRegistry)

    @Test
    fun `a summary lists the stages that ran since the last summary`() {
        times.measure(ProcessingStage.SCHEDULER) {}
        times.measure(ProcessingStage.SCHEDULER) {}
        val summary = times.summary()
        assertTrue(Regex("scheduler_count=2 scheduler_total_ms=\\d+ scheduler_longest_ms=\\d+").matches(summary), summary)
        assertEquals("", times.summary())
    }

    @Test
    fun `a summary doesn't reset the metrics`() {
        times.measure(ProcessingStage.REPLAY) {}
        times.summary()
        times.measure(ProcessingStage.REPLAY) {}
        assertTrue("processing.count stage=replay 2.0\n" in MetricsText.text(meterRegistry)) { MetricsText.text(meterRegistry) }
    }

    @Test
    fun `a log value with whitespace is quoted`() {
        assertEquals("lease_expired", logValue("lease_expired"))
        assertEquals("\"newer_term: n2 knows 813\"", logValue("newer_term: n2 knows 813"))
        assertEquals("\"said 'no' twice\"", logValue("said \"no\" twice"))
    }
}
