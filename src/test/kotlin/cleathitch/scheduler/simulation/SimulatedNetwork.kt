package cleathitch.scheduler.simulation

import kotlin.random.Random

/** Delays, duplicates or drops messages according to the fault schedule, and records when the partition of each zone ends. */
class SimulatedNetwork(
    private val events: EventQueue,
    private val random: Random,
    private val faults: FaultSchedule,
    private val faultsEnded: () -> Boolean,
) {
    private val partitionedUntilMs = HashMap<String, Long>()

    /** Sends a message: [deliver] runs after at least [minDelayMs], twice if the message is duplicated and never if it is lost. */
    fun send(minDelayMs: Long = 0, deliver: () -> Unit) {
        if (drawMessageLoss()) return
        val isDelayed = !faultsEnded() && random.nextDouble() < faults.messageDelay
        val delayMs = maxOf(0, minDelayMs) + if (isDelayed) random.nextLong(MAX_DELAY_MS) else random.nextLong(1, MAX_NORMAL_DELAY_MS)
        events.schedule(delayMs, deliver)
        if (!faultsEnded() && random.nextDouble() < faults.messageDuplication) {
            events.schedule(delayMs + random.nextLong(MAX_DUPLICATE_DELAY_MS), deliver)
        }
    }

    /** Decides by a random draw whether the next message is lost. Draws nothing and loses nothing once faults have ended. */
    fun drawMessageLoss() = !faultsEnded() && random.nextDouble() < faults.messageLoss

    fun partitionZone(zone: String, durationMs: Long) {
        partitionedUntilMs[zone] = events.nowMs + durationMs
    }

    fun healPartitions() = partitionedUntilMs.clear()

    /** Time until messages from and to [zone] are delivered again; zero or negative if the zone is not partitioned. */
    fun partitionRemainingMs(zone: String) = (partitionedUntilMs[zone] ?: 0L) - events.nowMs

    private companion object {
        const val MAX_NORMAL_DELAY_MS = 20L
        const val MAX_DELAY_MS = 60_000L
        const val MAX_DUPLICATE_DELAY_MS = 30_000L
    }
}
