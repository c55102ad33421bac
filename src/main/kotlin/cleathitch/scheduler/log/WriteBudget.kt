package cleathitch.scheduler.log

/** Changes that may still be sent to the state service: refilled steadily, with bursts of a second's worth. */
class WriteBudget(private val perS: Double, startMs: Long) {
    private var tokens = perS
    private var atMs = startMs

    val burst get() = perS.toInt()

    fun left(nowMs: Long): Int {
        tokens = minOf(perS, tokens + (nowMs - atMs) * perS / 1000)
        atMs = nowMs
        return tokens.toInt()
    }

    /** A commit may cost more than is left; the next then waits longer. */
    fun take(changes: Int) {
        tokens -= changes
    }
}
