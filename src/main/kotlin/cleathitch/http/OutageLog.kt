package cleathitch.http

import org.slf4j.LoggerFactory

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
