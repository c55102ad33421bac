package cleathitch.scheduler.machines

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId

/**
 * Hands the knowledge of which machine holds which images from one leader to the next. Without it a new leader places
 * tasks without regard to images, and machines fetch what others hold. Confined to the leader's event loop.
 */
internal class ImageCacheHints(
    private val context: SchedulerContext,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    start: ClockReading,
) {
    private var received: Map<MachineId, ImageCache> = emptyMap()
    private var lastSharedMs = start.steadyMs

    /** Takes over what an earlier leader has shared. */
    fun receive(hints: Map<MachineId, ImageCache>) {
        received = hints
    }

    /** Applies the hint for a machine whose first heartbeat in this term has just arrived, if its incarnation is still the same. */
    fun applyTo(machine: Machine) {
        received[machine.id]?.takeIf { it.incarnation == machine.incarnation }?.sizesGb?.forEach(machine::recordImage)
    }

    /** Shares the image caches with the followers, once a period. */
    fun shareIfDue() {
        if (context.now.steadyMs - lastSharedMs < timings.imageHintPeriodMs) return
        lastSharedMs = context.now.steadyMs
        val up = inventory.machines.values.filter { it.state == MachineState.UP && it.lastContactMs != null }
        context.emit(Effect.ShareImageCacheHints(up.associate { it.id to it.imageCache() }))
    }
}
