package cleathitch.core

import kotlinx.serialization.Serializable

@Serializable
enum class JobKind {
    /** Independent tasks. */
    ARRAY,

    /** Tasks that run only together, and so are started together or not at all. */
    GANG,

    /** Replicas that run until the job is cancelled. */
    SERVICE,
}

/** From the most to the least urgent. */
@Serializable
enum class Priority { PRODUCTION, HIGH, NORMAL, LOW }

/** What a user asked for. It never changes. */
@Serializable
data class JobSpec(
    val id: JobId,
    val className: String,
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val imageGb: Double,
    val types: Set<String>? = null,
    val zone: String? = null,
    val oneZone: Boolean = false,
    val spread: Boolean = false,
    val spotAllowed: Boolean = false,
    val estimateS: Double = 0.0,
    val checkpointS: Double = 0.0,
    val saveS: Double = 0.0,
    val deadlineS: Double? = null,
) {
    /** Jobs of one class are alike to the placement: what fits one fits all. */
    val placementClass = PlacementClass(
        team, kind, priority, cpus, gpus, memoryGb, image, types, zone, oneZone, spread, spotAllowed,
    )

    /** At most half of the tasks, rounded up, may share a zone when the job is spread. */
    val maxPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks
}

@Serializable
data class PlacementClass(
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val types: Set<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spotAllowed: Boolean,
)

data class Team(val name: String, val cpus: Double, val maxCpus: Double?, val gpus: Double, val maxGpus: Double?)

data class MachineType(
    val name: String,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
    val zones: List<String>,
) {
    fun holds(shape: PlacementClass) = shape.cpus <= cpus && shape.gpus <= gpus && shape.memoryGb <= memoryGb

    fun priceOf(spot: Boolean) = if (spot) spotPrice else price
}

/** A kind of machine that can be rented. */
@Serializable
data class Offer(val type: String, val zone: String, val spot: Boolean)

sealed interface Objective {
    data class Finished(val className: String, val withinS: Double, val share: Double) : Objective
    data class Wait(val className: String, val withinS: Double, val share: Double) : Objective
    data class Guarantee(val withinS: Double, val share: Double) : Objective
}

/** What the core needs to know of the deployment. */
data class Deployment(
    val zones: List<String>,
    val teams: Map<String, Team>,
    val objectives: List<Objective>,
    val reportS: Double,
    val leaseS: Double,
    val cancelS: Double,
    val stateRps: Double,
    val stateWriteRps: Double,
    val stateValueBytes: Int,
    val stateTxnOps: Int,
    val cloudRps: Double,
    val listLagS: Double,
    val nodes: Int,
)

/** A moment by the node's steady clock, and by the time of day (which wanders). */
data class Moment(val steadyMs: Long, val wallMs: Long)

/** A task as a machine's report shows it. */
data class ReportedTask(val attempt: AttemptId, val state: TaskState, val why: ExitReason? = null, val saved: Boolean = false)

enum class TaskState {
    FETCHING,

    /** A gang's task that is on its machine and waits for the others. */
    WAITING,
    RUNNING,
    SAVING,
    EXITED,
}

enum class ExitReason {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN,

    /** A gang's task ended because others of its gang were missing. */
    PEERS_MISSING,
}

/** A machine's report. The larger ([session], [seq]) is the newer. */
data class Report(
    val machine: MachineId,
    val addr: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    val seq: Long,
    val version: OrderVersion,
    val noticeS: Double?,
    val tasks: List<ReportedTask>,
)

sealed interface Order {
    val attempt: AttemptId

    data class Start(override val attempt: AttemptId) : Order
    data class Stop(override val attempt: AttemptId, val graceS: Double) : Order
    data class Forget(override val attempt: AttemptId) : Order
}

/** The images that a machine seems to hold in a session, oldest use first, with their sizes. */
data class HeldImages(val session: Long, val sizesGb: Map<String, Double>)

/** A machine as the cloud lists it. */
data class ListedMachine(val machine: MachineId, val addr: String, val offer: Offer, val state: ListedState, val ageS: Double)

enum class ListedState { STARTING, RUNNING, FAILED }
