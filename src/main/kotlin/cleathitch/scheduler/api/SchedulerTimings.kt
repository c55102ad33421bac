package cleathitch.scheduler.api

import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.Objective
import kotlin.math.max
import kotlin.math.min

/**
 * The scheduler's periods, timeouts and margins. Each follows from the deployment's own figures, so that a deployment with
 * shorter heartbeats or leases gets a scheduler that is as much faster.
 */
data class SchedulerTimings(
    /** Period of scheduling rounds, and of writes that nobody waits for; the first delay of a job whose tasks fail. */
    val roundMs: Long,

    /** Period of the decision log's compaction. */
    val compactionMs: Long,

    /** For how long after the end of its own lease a leader still answers heartbeats: old answers end before new starts. */
    val graceMs: Long,

    /** What is added to a worker's lease before its tasks count as ended, for clock drift and heartbeats on their way. */
    val leaseMarginMs: Long,

    /** For how long a leader's key outlives its last renewal. */
    val leaderLeaseMs: Long,

    /** Period at which the whole fleet is checked for machines that are silent, without a lease or never come up. */
    val fleetCheckMs: Long,

    /** After how long without a heartbeat a machine is probed and gets no new tasks; more than one period, as some come late. */
    val probeMs: Long,

    /** Least time between two probes of a machine, and the timeout of one. */
    val probeGapMs: Long,

    /** After how long without a heartbeat a machine that answers no probe either is terminated: two periods. */
    val silentMs: Long,

    /** After how long without an answered heartbeat a machine has certainly lost its lease. */
    val leaseLossMs: Long,

    /** Least time between two termination calls to the cloud; what is decided in between goes in one call. */
    val terminationGapMs: Long,

    /** Period at which the leader shares with the followers which machine holds which images. */
    val imageHintPeriodMs: Long,

    /**
     * For how long a new leader waits before it decides what depends on silent machines, as rentals and terminations: more
     * than one heartbeat period, so that every live machine has had its turn.
     */
    val failoverMs: Long,

    /** For how long a follower gathers heartbeats before it forwards them to the leader. */
    val forwardIntervalMs: Long,

    /** After how long a commit without an answer counts as a stall, in which submissions and cancellations are refused. */
    val commitStallMs: Long,

    /** For how long a user's request waits for its commit before it is answered as unavailable. */
    val maxCommitWaitMs: Long,
) {
    companion object {
        /** The longest round period; shorter waits that are promised shorten it. */
        private const val MAX_ROUND_MS = 2000.0
        private const val DEFAULT_COMPACTION_MS = 10_000L

        /** How many rounds fit into the shortest wait that is promised: one may be missed by a failover, and a start takes time. */
        private const val ROUNDS_PER_WAIT = 4

        /** How often the fleet is checked in a heartbeat period, so that an overdue heartbeat is noticed soon. */
        private const val FLEET_CHECKS_PER_HEARTBEAT = 6

        /** A round writes two changes, its record and the log's head. */
        private const val CHANGES_PER_ROUND = 2

        /** The part of the time between the ends of a worker's lease and of a cancellation that goes into [graceMs]. */
        private const val GRACE_SHARE = 0.25

        /** The bound on how far steady clocks drift apart, as a ratio, doubled for two clocks. */
        const val MAX_CLOCK_DRIFT = 0.001

        /** The timings of [deployment]; [compactionS] is the operator's own compaction period, in seconds. */
        fun of(deployment: Deployment, compactionS: Double? = null): SchedulerTimings {
            val reportMs = deployment.reportS * MS_PER_S
            val roundMs = roundMs(deployment)
            return SchedulerTimings(
                roundMs = roundMs,
                fleetCheckMs = max(roundMs, (reportMs / FLEET_CHECKS_PER_HEARTBEAT).toLong()),
                compactionMs = compactionS?.let { (it * MS_PER_S).toLong() } ?: DEFAULT_COMPACTION_MS,
                graceMs = graceMs(deployment),
                leaseMarginMs = (deployment.leaseS * MS_PER_S * MAX_CLOCK_DRIFT + reportMs / 4).toLong(),
                leaderLeaseMs = (deployment.leaseS * MS_PER_S / 24).toLong(),
                probeMs = (reportMs * 1.35).toLong(),
                probeGapMs = (reportMs / 4).toLong(),
                silentMs = (reportMs * 2).toLong(),
                leaseLossMs = (deployment.leaseS * MS_PER_S + reportMs).toLong(),
                terminationGapMs = (2000 / deployment.cloudRps).toLong(),
                imageHintPeriodMs = (reportMs * 1.5).toLong(),
                failoverMs = (reportMs * 1.25).toLong(),
                forwardIntervalMs = (reportMs / 80).toLong(),
                commitStallMs = (reportMs / 4).toLong(),
                maxCommitWaitMs = (reportMs / 2).toLong(),
            )
        }

        /** Short enough for the shortest wait that is promised, but with at most half of the writes that the store allows. */
        private fun roundMs(deployment: Deployment): Long {
            val shortestWaitS = shortestWaitS(deployment.objectives)
            val byObjectiveMs = if (shortestWaitS == null) {
                MAX_ROUND_MS
            } else {
                min(MAX_ROUND_MS, shortestWaitS * MS_PER_S / ROUNDS_PER_WAIT)
            }
            val byWriteBudgetMs = MS_PER_S * CHANGES_PER_ROUND / (deployment.stateWriteRps / 2)
            return max(byObjectiveMs, byWriteBudgetMs).toLong()
        }

        private fun shortestWaitS(objectives: List<Objective>): Double? = objectives.mapNotNull {
            when (it) {
                is Objective.Wait -> it.deadlineS
                is Objective.Guarantee -> it.deadlineS
                is Objective.Finished -> null
            }
        }.minOrNull()

        /** Cancelled tasks have to be gone in time even if an old leader answers until the end of its grace. */
        private fun graceMs(deployment: Deployment): Long {
            val spareMs = (deployment.cancelS - deployment.leaseS) * MS_PER_S
            return (spareMs * GRACE_SHARE).toLong().coerceAtLeast(0)
        }
    }
}
