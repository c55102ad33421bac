package cleathitch.scheduler.api

import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Objective
import kotlin.math.max
import kotlin.math.min

/** The design's periods and margins, each a ratio to a figure of the settings. */
data class SchedulerTimings(
    val roundMs: Long,
    val trimMs: Long,
    val graceMs: Long,
    val leaseMarginMs: Long,
    /** For how long a leader's key outlives its last renewal. */
    val leaderLeaseMs: Long,

    /** How often the whole fleet is looked at for machines that fall silent, lose their lease or never come up. */
    val watchMs: Long,

    /** After how long without a report a machine is asked directly, how often, and when it is given up. */
    val probeMs: Long,
    val probeGapMs: Long,
    val silentMs: Long,

    /** By then a machine whose reports reach nobody has lost its lease. */
    val lostMs: Long,
    val returnGapMs: Long,

    /** How often the followers hear which machine holds which images. */
    val imageHintPeriodMs: Long,
    val failoverMs: Long,

    /** For how long a follower gathers reports before it hands them to the leader. */
    val forwardMs: Long,
    val stallMs: Long,
    val intakeMs: Long,
) {
    companion object {
        /** The design's own values. */
        private const val ROUND_MS = 2000.0
        private const val TRIM_MS = 10_000L

        /** The page's bound on how far steady clocks drift apart, doubled for two clocks. */
        const val DRIFT = 0.001

        fun of(deployment: Deployment, trimS: Double? = null): SchedulerTimings {
            val wait = deployment.objectives.mapNotNull {
                when (it) {
                    is Objective.Wait -> it.deadlineS
                    is Objective.Guarantee -> it.deadlineS
                    is Objective.Finished -> null
                }
            }.minOrNull()
            // Four rounds inside the shortest wait that was promised; a round writes two changes (its
            // record and the head) and may take half of what the state service allows.
            val byObjective = if (wait == null) ROUND_MS else min(ROUND_MS, wait * 1000 / 4)
            val byBudget = 1000 * 2 / (deployment.stateWriteRps / 2)
            val reportMs = deployment.reportS * 1000
            // Cancelled tasks must be gone in time even if an old leader answered until its grace was over.
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
