package cleathitch.scheduler.machines

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId

/**
 * Shares with the followers which images are cached on which machines. Without this information a new leader would
 * place tasks without regard to cached images, and machines would fetch images that others already hold. Confined to the leader's
 * event loop.
 */
internal class ImageCacheHints(
    private val context: SchedulerContext,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    start: ClockReading,
) {
    private var received: Map<MachineId, ImageCache> = emptyMap()
    private var lastSharedMs = start.monotonicMs

    /** Stores the hints that an earlier leader has shared. */
    fun receive(hints: Map<MachineId, ImageCache>) {
        received = hints
    }

    /** Applies the hint for a machine on its first heartbeat in this term, if the hint is for the machine's current incarnation. */
    fun applyTo(machine: Machine) {
        received[machine.id]?.takeIf { it.incarnation == machine.incarnation }?.sizesGb?.forEach(machine::recordImage)
    }

    /** Shares the contents of the image caches with the followers once per period. */
    fun shareIfDue() {
        if (context.now.monotonicMs - lastSharedMs < timings.imageHintPeriodMs) return
        lastSharedMs = context.now.monotonicMs
        val up = inventory.machines.values.filter { it.state == MachineState.UP && it.lastContactMs != null }
        context.emit(Effect.ShareImageCacheHints(up.associate { it.id to it.imageCache() }))
    }
}
