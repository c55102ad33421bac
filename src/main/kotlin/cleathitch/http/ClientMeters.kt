package cleathitch.http

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import java.util.concurrent.atomic.AtomicInteger

/** Counts the calls of one HTTP client by their outcome, and what its connection pool has lent and still owes. */
internal class ClientMeters(private val client: String, private val meters: MeterRegistry) {
    private val waiting = AtomicInteger()
    private val lent = AtomicInteger()
    private val counters = HashMap<String, Counter>()

    init {
        val tags = Tags.of("client", client)
        meters.gauge("http.client.waiting", tags, waiting)
        meters.gauge("http.client.lent", tags, lent)
    }

    /** A call asks the pool for a connection. */
    fun asked() = waiting.incrementAndGet()

    /** The pool has answered a call that asked, whether or not somebody still waits for it. */
    fun settled(gotConnection: Boolean) {
        waiting.decrementAndGet()
        if (gotConnection) lent.incrementAndGet()
    }

    /** A connection that was lent is the pool's again, or closed. */
    fun returned() = lent.decrementAndGet()

    fun ended(result: CallResult) {
        val outcome = when (result) {
            is CallResult.Failed -> result.failure.name.lowercase()
            is CallResult.Answered -> if (result.isRefusal) "refused" else "answered"
        }
        counters.getOrPut(outcome) { meters.counter("http.client.calls", "client", client, "outcome", outcome) }.increment()
    }
}
