package cleathitch.http

import org.slf4j.LoggerFactory

/**
 * Logs when calls to a server begin to fail and when they succeed again, with the number of failures of each kind in between.
 * During an outage it logs each time the number of failures has doubled, so that a long outage produces few lines.
 * Confined to the event loop of its client; [monotonicMs] is a monotonic clock.
 */
internal class OutageLog(private val client: String, private val monotonicMs: () -> Long) {
    private class Outage(val sinceMs: Long) {
        val countsByFailure = LinkedHashMap<String, Int>()
        var failures = 0
            private set

        /** Counts a failed call. */
        fun recordFailure(failure: String) {
            countsByFailure.merge(failure, 1, Int::plus)
            failures++
        }

        /** Formats the counts as `status_503:2,connect_failed:1`, in the order of first occurrence. */
        fun summary() = countsByFailure.entries.joinToString(",") { (failure, count) -> "$failure:$count" }
    }

    private val outages = HashMap<Address, Outage>()

    /** Records the outcome of a call to [server] that has ended. */
    fun recordCall(server: Address, path: String, outcome: CallOutcome) = when (outcome) {
        CallOutcome.Answered -> recordRecovery(server)
        is CallOutcome.Refused -> recordFailure(server, path, "status_${outcome.status}")
        is CallOutcome.Failed -> recordFailure(server, path, outcome.metricTag)
    }

    private fun recordFailure(server: Address, path: String, failure: String) {
        val outage = outages.getOrPut(server) { Outage(monotonicMs()) }
        outage.recordFailure(failure)
        if (outage.failures == 1) {
            // The query is left out because it differs from call to call.
            log.info("event=calls_failing client={} server={} failure={} path={}", client, server, failure, path.substringBefore('?'))
        } else if (isPowerOfTwo(outage.failures)) {
            log.info("event=calls_still_failing client={} server={} {}", client, server, details(outage))
        }
    }

    private fun recordRecovery(server: Address) {
        val outage = outages.remove(server) ?: return
        log.info("event=calls_recovered client={} server={} {}", client, server, details(outage))
    }

    private fun details(outage: Outage) = "duration_ms=${monotonicMs() - outage.sinceMs} failures=${outage.summary()}"

    private fun isPowerOfTwo(number: Int) = number.countOneBits() == 1

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.http")
    }
}
