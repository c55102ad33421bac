package cleathitch.cloud

import kotlinx.coroutines.delay

/** Spreads calls so that the cloud's limit isn't passed; one caller at a time takes its turn. */
class CallPacer(perS: Double, private val steadyMs: () -> Long) {
    private val gapMs = (1000 / perS).toLong().coerceAtLeast(1)
    private var nextMs = 0L

    suspend fun take() {
        val now = steadyMs()
        // an unused second may be made up for, as the cloud's own limit allows bursts
        val turn = maxOf(nextMs, now - BURST_MS)
        nextMs = turn + gapMs
        if (turn > now) delay(turn - now)
    }

    private companion object {
        const val BURST_MS = 1000L
    }
}
