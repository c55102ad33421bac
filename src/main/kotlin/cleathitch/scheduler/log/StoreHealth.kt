package cleathitch.scheduler.log

import cleathitch.scheduler.model.StoreLimits
import cleathitch.scheduler.model.TransactionSize

/**
 * What this process has learnt about the key-value store from its answers to commits: limits that are lower than [configured], and
 * whether leadership was already handed over because nothing could be committed. Outlives the terms of the process; times are
 * readings of the monotonic clock.
 */
class StoreHealth(private val configured: StoreLimits) {
    private var raiseAtMs = Long.MAX_VALUE

    /** The limits within which commits are planned. */
    var limits = configured
        private set

    /** Whether the store is believed to have lower limits than the settings say. */
    val isReduced get() = limits != configured

    /** Whether leadership was handed over because of commits without an answer, and no commit has succeeded since. */
    var hasHandedOver = false
        private set

    /** Reduces the limits to half of a commit of [size], which the store rejected. */
    fun recordRejection(size: TransactionSize, nowMs: Long) {
        limits = StoreLimits(
            minOf(limits.transactionBytes, maxOf(MIN_TRANSACTION_BYTES, size.bytes / 2)),
            minOf(limits.valueBytes, maxOf(MIN_VALUE_BYTES, size.largestValueBytes / 2)),
            minOf(limits.operations, maxOf(MIN_OPERATIONS, size.operations / 2)),
        )
        raiseAtMs = nowMs + RAISE_AFTER_MS
    }

    /** Doubles reduced limits if no commit was rejected for [RAISE_AFTER_MS]. */
    fun raiseLimitsIfDue(nowMs: Long) {
        if (!isReduced || nowMs < raiseAtMs) return
        limits = StoreLimits(
            minOf(configured.transactionBytes, limits.transactionBytes * 2),
            minOf(configured.valueBytes, limits.valueBytes * 2),
            minOf(configured.operations, limits.operations * 2),
        )
        raiseAtMs = nowMs + RAISE_AFTER_MS
    }

    /** Records that the store has applied a commit. */
    fun recordSuccess() {
        hasHandedOver = false
    }

    /** Records that leadership is handed over because a commit got no answer. */
    fun recordHandover() {
        hasHandedOver = true
    }

    private companion object {
        const val RAISE_AFTER_MS = 10_000L

        /** Limits below which no store is expected to go; a commit of this size holds the head and a small record. */
        const val MIN_TRANSACTION_BYTES = 2048
        const val MIN_VALUE_BYTES = 512
        const val MIN_OPERATIONS = 8
    }
}
