package cleathitch.scheduler.log

/**
 * Limits the rate of changes sent to the key-value store: a token bucket that is refilled at [changesPerSecond] and holds the tokens
 * of one second. Times are readings of the monotonic clock.
 */
class WriteBudget(private val changesPerSecond: Double, startMs: Long) {
    private var tokens = changesPerSecond
    private var refilledAtMs = startMs

    /** The capacity of the bucket: the maximum number of changes available at a time. */
    val burst get() = changesPerSecond.toInt()

    /** The number of changes that may be sent at [nowMs]. */
    fun available(nowMs: Long): Int {
        tokens = minOf(changesPerSecond, tokens + (nowMs - refilledAtMs) * changesPerSecond / MS_PER_SECOND)
        refilledAtMs = nowMs
        return tokens.toInt()
    }

    /** Deducts [changes] from the budget. They may exceed what is available, in which case later changes wait longer. */
    fun consume(changes: Int) {
        tokens -= changes
    }

    private companion object {
        const val MS_PER_SECOND = 1000
    }
}
