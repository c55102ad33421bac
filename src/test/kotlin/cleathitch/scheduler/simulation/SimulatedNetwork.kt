package cleathitch.scheduler.simulation

import kotlin.random.Random

/** Delivers messages late, twice or never, as the fault schedule says, and holds those of partitioned zones. */
class SimulatedNetwork(
    private val events: EventQueue,
    private val random: Random,
    private val faults: FaultSchedule,
    private val isCalm: () -> Boolean,
) {
    private val partitionedUntilMs = HashMap<String, Long>()

    /** Delivers a message by [deliver], at the earliest when [heldMs] have passed. */
    fun send(heldMs: Long = 0, deliver: () -> Unit) {
        if (isLost()) return
        val isDelayed = !isCalm() && random.nextDouble() < faults.messageDelay
        val delayMs = maxOf(0, heldMs) + if (isDelayed) random.nextLong(MAX_DELAY_MS) else random.nextLong(1, USUAL_DELAY_MS)
        events.after(delayMs, deliver)
        if (!isCalm() && random.nextDouble() < faults.messageDuplication) {
            events.after(delayMs + random.nextLong(MAX_DUPLICATE_DELAY_MS), deliver)
        }
    }

    /** Draws whether the next message is lost; never once the cluster is calm. */
    fun isLost() = !isCalm() && random.nextDouble() < faults.messageLoss

    fun partitionZone(zone: String, forMs: Long) {
        partitionedUntilMs[zone] = events.nowMs + forMs
    }

    fun healPartitions() = partitionedUntilMs.clear()

    /** For how long messages from and to [zone] are still held; zero or less if it is not partitioned. */
    fun heldMs(zone: String) = (partitionedUntilMs[zone] ?: 0L) - events.nowMs

    private companion object {
        const val USUAL_DELAY_MS = 20L
        const val MAX_DELAY_MS = 60_000L
        const val MAX_DUPLICATE_DELAY_MS = 30_000L
    }
}
