package cleathitch.storage

import cleathitch.metrics.logValue
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.StoreLimits
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.model.TransactionSize
import io.micrometer.core.instrument.MeterRegistry
import org.slf4j.LoggerFactory

/**
 * Counts the attempts to write one commit and logs those that didn't succeed. The log lines and the metric `log.commit.attempts`
 * distinguish an attempt that the store rejected for its content, one that was refused because the store is unavailable, and one whose
 * outcome is unknown. While a commit fails, a line is written each time the number of attempts has doubled.
 */
internal class CommitAttempts(
    private val term: Term,
    private val index: LogIndex,
    private val size: () -> TransactionSize,
    private val limits: StoreLimits,
    private val meterRegistry: MeterRegistry,
    private val monotonicMs: () -> Long,
) {
    private val startedAtMs = monotonicMs()
    private var count = 0

    /** Whether an attempt may have been applied, or may still be: the store didn't say that it wasn't. */
    var isFateUnknown = false
        private set

    /** Records the [result] of the next attempt. */
    fun record(result: CompareAndSwapResult) {
        count++
        if (result is CompareAndSwapResult.Unknown) isFateUnknown = true
        meterRegistry.counter("log.commit.attempts", "outcome", outcome(result)).increment()
        when (result) {
            is CompareAndSwapResult.Applied -> logSuccess()
            is CompareAndSwapResult.Rejected -> logRejected(result)
            is CompareAndSwapResult.Unknown -> logUnconfirmed("unknown", result.failure.toString())
            is CompareAndSwapResult.Unavailable -> logUnconfirmed("not_applied", "status ${result.status}")
            is CompareAndSwapResult.LeaseNotFound, is CompareAndSwapResult.Refused -> Unit
        }
    }

    private fun logSuccess() {
        if (count >
            1
        ) {
            log.info("term={} event=committed index={} attempt={} duration_ms={}", term.revision, index.number, count, durationMs())
        }
    }

    private fun logRejected(result: CompareAndSwapResult.Rejected) {
        if (!isPowerOfTwo(count)) return
        log.error(
            "term={} event=commit_rejected index={} attempt={} reason={} {}",
            term.revision,
            index.number,
            count,
            reason(result),
            sizes(),
        )
    }

    private fun reason(result: CompareAndSwapResult.Rejected) = logValue(result.reason)

    private fun logUnconfirmed(fate: String, failure: String) {
        if (!isPowerOfTwo(count)) return
        log.info(
            "term={} event=commit_unconfirmed index={} attempt={} duration_ms={} fate={} failure={} {}",
            term.revision,
            index.number,
            count,
            durationMs(),
            fate,
            logValue(failure),
            sizes(),
        )
    }

    private fun sizes(): String = with(size()) {
        "bytes=$bytes bytes_limit=${limits.transactionBytes} operations=$operations operations_limit=${limits.operations} " +
            "largest_key=$largestKey value_bytes=$largestValueBytes value_limit=${limits.valueBytes}"
    }

    private fun durationMs() = monotonicMs() - startedAtMs

    private fun isPowerOfTwo(number: Int) = number.countOneBits() == 1

    private fun outcome(result: CompareAndSwapResult) = when (result) {
        is CompareAndSwapResult.Applied -> "applied"
        is CompareAndSwapResult.Refused -> "conflict"
        is CompareAndSwapResult.Rejected, CompareAndSwapResult.LeaseNotFound -> "rejected"
        is CompareAndSwapResult.Unavailable -> "unavailable"
        is CompareAndSwapResult.Unknown -> "unknown"
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")
    }
}
