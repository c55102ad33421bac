package cleathitch.http

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import java.util.concurrent.atomic.AtomicInteger

/**
 * The meters of one HTTP client: its calls by outcome, the calls that wait for a connection, and the connections in use.
 * Updated on the client's event loop; the two gauges may be read from any thread.
 */
internal class ClientMeters(private val client: String, private val meterRegistry: MeterRegistry) {
    private val waiting = AtomicInteger()
    private val inUse = AtomicInteger()
    private val calls = HashMap<String, Counter>()

    init {
        val tags = Tags.of("client", client)
        meterRegistry.gauge("http.client.waiting", tags, waiting)
        meterRegistry.gauge("http.client.in_use", tags, inUse)
    }

    /** Records that a call has requested a connection from the pool. */
    fun recordAcquisitionStart() {
        waiting.incrementAndGet()
    }

    /** Records that an acquisition has succeeded or failed. The call that requested it may have ended earlier. */
    fun recordAcquisitionEnd(succeeded: Boolean) {
        waiting.decrementAndGet()
        if (succeeded) inUse.incrementAndGet()
    }

    /** Records that a connection has been returned to the pool or closed. */
    fun recordRelease() {
        inUse.decrementAndGet()
    }

    /** Records the outcome of a call that has ended. */
    fun recordCall(outcome: CallOutcome) {
        val tag = outcome.metricTag
        calls.getOrPut(tag) { meterRegistry.counter("http.client.calls", "client", client, "outcome", tag) }.increment()
    }
}
