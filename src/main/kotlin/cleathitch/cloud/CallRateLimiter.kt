package cleathitch.cloud

import kotlinx.coroutines.delay

/**
 * Limits calls to an average of [callsPerS] per second; after a pause, a burst of up to one second's calls is allowed.
 * Callers are served in the order of their requests. Confined to one event loop; [monotonicMs] is a monotonic clock.
 */
class CallRateLimiter(callsPerS: Double, private val monotonicMs: () -> Long) {
    private val intervalMs = (1000 / callsPerS).toLong().coerceAtLeast(1)
    private var nextCallMs = 0L

    /** Suspends until the caller may make one call. */
    suspend fun acquire() {
        val now = monotonicMs()
        // The cloud's own rate limit allows bursts, so calls that were not made in the last second may be made now.
        val callMs = maxOf(nextCallMs, now - BURST_MS)
        nextCallMs = callMs + intervalMs
        if (callMs > now) delay(callMs - now)
    }

    private companion object {
        const val BURST_MS = 1000L
    }
}
