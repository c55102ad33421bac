package cleathitch.scheduler.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.floor
import kotlin.math.min

/**
 * Everything of a job that decides where its tasks may run. Jobs of one class are interchangeable to the placement: a machine
 * that fits a task of one fits a task of the other, so a round ranks machines once for each class.
 */
@Serializable
data class PlacementClass(
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    /** Processors of one task. */
    val cpus: Double,
    /** Accelerators of one task. */
    val gpus: Double,
    /** Memory of one task. */
    val memoryGb: Double,
    /** Name of the container image. */
    val image: String,
    /** The machine types on which a task may run; null for any. */
    @SerialName("types")
    val allowedTypes: Set<String>?,
    /** The zone in which a task has to run; null for any. */
    val zone: String?,
    /** All tasks of the job have to run in the same zone. */
    val oneZone: Boolean,
    /** At most half of the job's tasks, rounded up, may share a zone. */
    val spread: Boolean,
    /** Tasks may run on spot machines. */
    val spotAllowed: Boolean,
) {
    /** Whether a task may run on a machine rented as [offer]; whether it has room there is another question. */
    fun permits(offer: Offer): Boolean = (allowedTypes == null || offer.type in allowedTypes) &&
        (zone == null || offer.zone == zone) &&
        (spotAllowed || !offer.spot)

    /** How many tasks fit side by side into what is free of a machine. */
    fun fittingTasks(freeCpus: Double, freeGpus: Double, freeMemoryGb: Double): Int {
        var tasks = Double.MAX_VALUE
        if (cpus > 0) tasks = min(tasks, (freeCpus + RESOURCE_TOLERANCE) / cpus)
        if (gpus > 0) tasks = min(tasks, (freeGpus + RESOURCE_TOLERANCE) / gpus)
        if (memoryGb > 0) tasks = min(tasks, (freeMemoryGb + RESOURCE_TOLERANCE) / memoryGb)
        return floor(min(tasks, MAX_FITTING_TASKS)).toInt().coerceAtLeast(0)
    }

    /** How many tasks fit side by side into an empty machine of [type]. */
    fun fittingTasks(type: MachineType): Int = fittingTasks(type.cpus, type.gpus, type.memoryGb)

    private companion object {
        /** Stands for any number of tasks, for those that ask for nothing; far above what a machine holds. */
        const val MAX_FITTING_TASKS = 1e6
    }
}
