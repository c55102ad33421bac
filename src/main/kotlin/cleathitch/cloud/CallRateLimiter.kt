package cleathitch.cloud

import kotlinx.coroutines.delay

/**
 * Spaces calls so that there are at most [callsPerS] a second on average, with bursts of up to a second's calls after a pause.
 * Callers are served in the order in which they ask. Confined to one event loop; [steadyMs] is a steady clock.
 */
class CallRateLimiter(callsPerS: Double, private val steadyMs: () -> Long) {
    private val intervalMs = (1000 / callsPerS).toLong().coerceAtLeast(1)
    private var nextCallMs = 0L

    /** Returns when the caller may make one call. */
    suspend fun acquire() {
        val now = steadyMs()
        // The cloud's own limit allows bursts, so calls that were not made in the last second may be made up for.
        val callMs = maxOf(nextCallMs, now - BURST_MS)
        nextCallMs = callMs + intervalMs
        if (callMs > now) delay(callMs - now)
    }

    private companion object {
        const val BURST_MS = 1000L
    }
}
