package cleathitch.scheduler.log

/**
 * Limits the rate of changes that are sent to the key-value store: a token bucket that [changesPerSecond] refill and that holds a
 * second's worth of them. Times are readings of the steady clock.
 */
class WriteBudget(private val changesPerSecond: Double, startMs: Long) {
    private var tokens = changesPerSecond
    private var refilledAtMs = startMs

    /** The most changes that can be available. */
    val burst get() = changesPerSecond.toInt()

    /** How many changes may be sent at [nowMs]. */
    fun available(nowMs: Long): Int {
        tokens = minOf(changesPerSecond, tokens + (nowMs - refilledAtMs) * changesPerSecond / MS_PER_SECOND)
        refilledAtMs = nowMs
        return tokens.toInt()
    }

    /** Counts so many [changes] as sent. They may be more than are available; the next then wait longer. */
    fun consume(changes: Int) {
        tokens -= changes
    }

    private companion object {
        const val MS_PER_SECOND = 1000
    }
}
