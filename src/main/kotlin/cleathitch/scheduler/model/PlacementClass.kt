package cleathitch.scheduler.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.floor
import kotlin.math.min

/**
 * The attributes of a job that determine where its tasks may run. Jobs of the same class are interchangeable for placement: a
 * machine that fits a task of one fits a task of the other, so a round ranks the machines once per class.
 */
@Serializable
data class PlacementClass(
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    /** CPUs per task. */
    val cpus: Double,
    /** GPUs per task. */
    val gpus: Double,
    /** Memory per task, in gigabytes. */
    val memoryGb: Double,
    /** Name of the container image. */
    val image: String,
    /** Names of the machine types on which a task may run; null for any. */
    @SerialName("types")
    val allowedTypes: Set<String>?,
    /** The zone in which a task has to run; null for any. */
    val zone: String?,
    /** Whether all tasks of the job have to run in the same zone. */
    val oneZone: Boolean,
    /** Whether at most half of the job's tasks, rounded up, may share a zone. */
    val spread: Boolean,
    /** Whether tasks may run on spot machines. */
    val spotAllowed: Boolean,
) {
    /** Whether a task may run on a machine rented as [offer], regardless of the machine's free resources. */
    fun permits(offer: Offer): Boolean = (allowedTypes == null || offer.type in allowedTypes) &&
        (zone == null || offer.zone == zone) &&
        (spotAllowed || !offer.spot)

    /** The number of tasks that fit concurrently into a machine's free resources. */
    fun fittingTasks(freeCpus: Double, freeGpus: Double, freeMemoryGb: Double): Int {
        var tasks = Double.MAX_VALUE
        if (cpus > 0) tasks = min(tasks, (freeCpus + RESOURCE_TOLERANCE) / cpus)
        if (gpus > 0) tasks = min(tasks, (freeGpus + RESOURCE_TOLERANCE) / gpus)
        if (memoryGb > 0) tasks = min(tasks, (freeMemoryGb + RESOURCE_TOLERANCE) / memoryGb)
        return floor(min(tasks, MAX_TASKS_PER_MACHINE.toDouble())).toInt().coerceAtLeast(0)
    }

    /** The number of tasks that fit concurrently on an empty machine of [type]. */
    fun fittingTasks(type: MachineType): Int = fittingTasks(type.cpus, type.gpus, type.memoryGb)

    companion object {
        /**
         * The maximum number of tasks on a machine, whatever resources they request. A heartbeat with the longest entries for this many
         * tasks stays below the limit of 64 KiB for a worker's request.
         */
        const val MAX_TASKS_PER_MACHINE = 500
    }
}
