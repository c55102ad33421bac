package cleathitch.scheduler.api

import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Objective
import kotlin.math.max
import kotlin.math.min

/** The scheduler's periods and margins, each derived from the operators' settings by a fixed ratio. */
data class SchedulerTimings(
    /** The period of scheduling rounds, and of commits that nothing waits for. */
    val roundMs: Long,

    /** The period after which the log's oldest records are folded into snapshots. */
    val trimMs: Long,

    /** For how long beyond its lease a leader still answers heartbeats, so that a short outage doesn't end workers' leases. */
    val graceMs: Long,

    /** Added to a worker's lease before it counts as expired: clock drift and time in transit. */
    val leaseMarginMs: Long,

    /** For how long a leader's lease outlives its last renewal. */
    val leaderLeaseMs: Long,

    /** The period in which the whole fleet is checked for silent machines, expired leases and overdue boots. */
    val watchMs: Long,

    /** After how long without contact a machine is suspected and probed. */
    val probeMs: Long,

    /** The shortest time between two probes of a machine. */
    val probeGapMs: Long,

    /** After how long without contact a machine that leaves probes unanswered is terminated. */
    val silentMs: Long,

    /** By then a machine whose heartbeats can't be answered has lost its lease. */
    val lostMs: Long,

    /** The shortest time between two calls that terminate machines. */
    val returnGapMs: Long,

    /** The period in which the machines' image caches are shared with the followers. */
    val imageHintPeriodMs: Long,

    /** By then every machine has had the time to report to a new leader. */
    val failoverMs: Long,

    /** For how long a follower gathers heartbeats before it passes them on to the leader. */
    val forwardMs: Long,

    /** After how long a commit without an answer makes the leader turn new work down. */
    val stallMs: Long,

    /** For how long a user's request waits for its commit before it is answered as unavailable. */
    val intakeMs: Long,
) {
    companion object {
        /** The longest round; objectives for the wait may demand shorter ones. */
        private const val ROUND_MS = 2000.0

        /** The trim period unless the settings give one. */
        private const val TRIM_MS = 10_000L

        /** How far two steady clocks drift apart at most, as a part of the elapsed time: twice the bound for a single clock. */
        const val DRIFT = 0.001

        /** The timings for [deployment]; [trimS] replaces the usual trim period. */
        fun of(deployment: Deployment, trimS: Double? = null): SchedulerTimings {
            val wait = deployment.objectives.mapNotNull {
                when (it) {
                    is Objective.Wait -> it.deadlineS
                    is Objective.Guarantee -> it.deadlineS
                    is Objective.Finished -> null
                }
            }.minOrNull()
            // Four rounds fit into the shortest wait objective. A round writes two changes, its record and the head,
            // and may take half of the key-value store's write rate.
            val byObjective = if (wait == null) ROUND_MS else min(ROUND_MS, wait * 1000 / 4)
            val byBudget = 1000 * 2 / (deployment.stateWriteRps / 2)
            val reportMs = deployment.reportS * 1000
            // Cancelled tasks must end in time even if an earlier leader answered heartbeats until its grace period was over.
            val spareMs = (deployment.cancelS - deployment.leaseS) * 1000
            val roundMs = max(byObjective, byBudget).toLong()
            return SchedulerTimings(
                roundMs = roundMs,
                watchMs = max(roundMs, (reportMs / 6).toLong()),
                trimMs = trimS?.let { (it * 1000).toLong() } ?: TRIM_MS,
                graceMs = (spareMs * 0.25).toLong().coerceAtLeast(0),
                leaseMarginMs = (deployment.leaseS * 1000 * DRIFT + reportMs / 4).toLong(),
                leaderLeaseMs = (deployment.leaseS * 1000 / 24).toLong(),
                probeMs = (reportMs * 1.35).toLong(),
                probeGapMs = (reportMs / 4).toLong(),
                silentMs = (reportMs * 2).toLong(),
                lostMs = (deployment.leaseS * 1000 + reportMs).toLong(),
                returnGapMs = (2000 / deployment.cloudRps).toLong(),
                imageHintPeriodMs = (reportMs * 1.5).toLong(),
                failoverMs = (reportMs * 1.25).toLong(),
                forwardMs = (reportMs / 80).toLong(),
                stallMs = (reportMs / 4).toLong(),
                intakeMs = (reportMs / 2).toLong(),
            )
        }
    }
}
