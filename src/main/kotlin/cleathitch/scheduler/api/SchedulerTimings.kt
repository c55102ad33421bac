package cleathitch.scheduler.api

import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.Objective
import kotlin.math.max
import kotlin.math.min

/**
 * The scheduler's periods, timeouts and margins. They are derived from the deployment's parameters, so that they scale with the
 * heartbeat period and the lease duration.
 */
data class SchedulerTimings(
    /** Period of scheduling rounds and of writes that no request waits for; also the initial retry delay of a job whose tasks fail. */
    val roundPeriodMs: Long,

    /** Period of the decision log's compaction. */
    val compactionPeriodMs: Long,

    /**
     * How long a leader still answers heartbeats after the end of its own lease. A new leader waits for this time plus a worker's lease
     * before it restarts the tasks of machines that it hasn't answered, so that leases renewed by an earlier leader have expired.
     */
    val graceMs: Long,

    /** Margin added to a worker's lease before its tasks count as ended; covers clock drift and heartbeats in transit. */
    val leaseMarginMs: Long,

    /** Time to live of the leader's key after its last renewal. */
    val leaderLeaseMs: Long,

    /** Period at which the whole fleet is checked for silent machines, expired workers' leases and machines that never booted. */
    val fleetCheckPeriodMs: Long,

    /** Time without a heartbeat after which a machine is probed and gets no new tasks; exceeds one period, as some heartbeats are late. */
    val probeAfterMs: Long,

    /** Minimum time between two probes of a machine, and the timeout of a probe. */
    val minProbeIntervalMs: Long,

    /** Time without a heartbeat or an answer to a probe after which a machine is terminated: two heartbeat periods. */
    val silentAfterMs: Long,

    /** Time without an answered heartbeat after which a worker's lease has certainly expired. */
    val leaseLostAfterMs: Long,

    /** Minimum time between two termination calls to the cloud provider; terminations requested in between are batched into one call. */
    val minTerminationIntervalMs: Long,

    /** Period at which the leader sends the contents of the machines' image caches to the followers. */
    val imageHintPeriodMs: Long,

    /**
     * How long a new leader waits before it makes decisions that rely on missing heartbeats, such as terminations. Rentals wait as
     * well, but only until the cloud provider has listed its machines. Longer than one heartbeat period, so that every live machine
     * has had time to send a heartbeat.
     */
    val failoverSettleMs: Long,

    /** How long a follower collects heartbeats into a batch before it forwards them to the leader. */
    val forwardIntervalMs: Long,

    /** Time after which an unanswered commit counts as a stall; submissions and cancellations are refused during a stall. */
    val commitStallMs: Long,

    /** How long a user's request waits for its commit before it is answered as unavailable. */
    val maxCommitWaitMs: Long,
) {
    companion object {
        /** The longest round period; objectives with short start deadlines reduce it. */
        private const val MAX_ROUND_MS = 2000.0
        private const val DEFAULT_COMPACTION_MS = 10_000L

        /** Number of rounds within the shortest start deadline; several, as a failover may skip one and starting a task takes time. */
        private const val ROUNDS_PER_START_DEADLINE = 4

        /** Fleet checks per heartbeat period, so that an overdue heartbeat is detected soon. */
        private const val FLEET_CHECKS_PER_HEARTBEAT = 6

        /** Key changes that a round writes: its log record and the log's head. */
        private const val CHANGES_PER_ROUND = 2

        /** [graceMs] as a fraction of the time by which the cancellation deadline exceeds the duration of a worker's lease. */
        private const val GRACE_SHARE = 0.25

        /** The bound on the relative drift between two monotonic clocks: twice the bound for one clock. */
        const val MAX_CLOCK_DRIFT = 0.001

        /** Derives the timings from [deployment]; [compactionS] overrides the compaction period, in seconds. */
        fun of(deployment: Deployment, compactionS: Double? = null): SchedulerTimings {
            val heartbeatPeriodMs = deployment.heartbeatPeriodS * MS_PER_S
            val roundPeriodMs = roundPeriodMs(deployment)
            return SchedulerTimings(
                roundPeriodMs = roundPeriodMs,
                fleetCheckPeriodMs = max(roundPeriodMs, (heartbeatPeriodMs / FLEET_CHECKS_PER_HEARTBEAT).toLong()),
                compactionPeriodMs = compactionS?.let { (it * MS_PER_S).toLong() } ?: DEFAULT_COMPACTION_MS,
                graceMs = graceMs(deployment),
                leaseMarginMs = (deployment.workerLeaseS * MS_PER_S * MAX_CLOCK_DRIFT + heartbeatPeriodMs / 4).toLong(),
                leaderLeaseMs = (deployment.workerLeaseS * MS_PER_S / 24).toLong(),
                probeAfterMs = (heartbeatPeriodMs * 1.35).toLong(),
                minProbeIntervalMs = (heartbeatPeriodMs / 4).toLong(),
                silentAfterMs = (heartbeatPeriodMs * 2).toLong(),
                leaseLostAfterMs = (deployment.workerLeaseS * MS_PER_S + heartbeatPeriodMs).toLong(),
                minTerminationIntervalMs = (2000 / deployment.cloudCallsPerS).toLong(),
                imageHintPeriodMs = (heartbeatPeriodMs * 1.5).toLong(),
                failoverSettleMs = (heartbeatPeriodMs * 1.25).toLong(),
                forwardIntervalMs = (heartbeatPeriodMs / 80).toLong(),
                commitStallMs = (heartbeatPeriodMs / 4).toLong(),
                maxCommitWaitMs = (heartbeatPeriodMs / 2).toLong(),
            )
        }

        /** Short enough for the shortest start deadline, unless that would use more than half of the key-value store's write rate limit. */
        private fun roundPeriodMs(deployment: Deployment): Long {
            val shortestStartDeadlineS = shortestStartDeadlineS(deployment.objectives)
            val byObjectiveMs = if (shortestStartDeadlineS == null) {
                MAX_ROUND_MS
            } else {
                min(MAX_ROUND_MS, shortestStartDeadlineS * MS_PER_S / ROUNDS_PER_START_DEADLINE)
            }
            val byWriteBudgetMs = MS_PER_S * CHANGES_PER_ROUND / (deployment.storeWritesPerS / 2)
            return max(byObjectiveMs, byWriteBudgetMs).toLong()
        }

        private fun shortestStartDeadlineS(objectives: List<Objective>): Double? = objectives.mapNotNull {
            when (it) {
                is Objective.StartDelay -> it.deadlineS
                is Objective.Guarantee -> it.deadlineS
                is Objective.Completion -> null
            }
        }.minOrNull()

        /**
         * Short enough for cancelled tasks to end by the cancellation deadline, even if an earlier leader renews workers' leases until the
         * end of its grace period.
         */
        private fun graceMs(deployment: Deployment): Long {
            val spareMs = (deployment.cancellationDeadlineS - deployment.workerLeaseS) * MS_PER_S
            return (spareMs * GRACE_SHARE).toLong().coerceAtLeast(0)
        }
    }
}
