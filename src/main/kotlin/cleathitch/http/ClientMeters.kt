package cleathitch.http

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import org.slf4j.LoggerFactory
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

/** Too many requests, or the server can't serve: worth a try later, unlike other answers. */
internal val CallResult.Answered.isRefusal get() = status == 429 || status >= 500

/**
 * Logs when calls to a server begin to fail and when they are answered again, with the failures in between counted by
 * kind. While they go on it logs each time their number has doubled, so that a long outage costs few lines.
 */
internal class OutageLog(private val client: String, private val nowMs: () -> Long) {
    private class Outage(val sinceMs: Long) {
        val counts = LinkedHashMap<String, Int>()
        var total = 0
    }

    private val outages = HashMap<Address, Outage>()

    fun ended(to: Address, path: String, result: CallResult) {
        val failure = when (result) {
            is CallResult.Failed -> result.failure.description
            is CallResult.Answered -> if (result.isRefusal) "status ${result.status}" else return answered(to)
        }
        failed(to, path, failure)
    }

    private fun failed(to: Address, path: String, failure: String) {
        val outage = outages.getOrPut(to) { Outage(nowMs()) }
        outage.counts.merge(failure, 1, Int::plus)
        outage.total++
        if (outage.total == 1) {
            log.info("{}: calls to {} fail: {} ({})", client, to, failure, path.substringBefore('?'))
        } else if (outage.total.countOneBits() == 1) {
            log.info("{}: calls to {} fail for {} ms: {}", client, to, nowMs() - outage.sinceMs, outage.counts)
        }
    }

    private fun answered(to: Address) {
        val outage = outages.remove(to) ?: return
        log.info("{}: calls to {} are answered again after {} ms; failed: {}", client, to, nowMs() - outage.sinceMs, outage.counts)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.http")
    }
}
