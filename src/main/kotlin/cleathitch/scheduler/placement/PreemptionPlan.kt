package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt

/** The tasks to preempt for a job of higher priority. */
class PreemptionPlan(
    /** The attempts to stop. */
    val victims: List<Attempt>,
    /** The number of the job's tasks that fit once [victims] and the attempts that are already stopping have ended. */
    val tasks: Int,
)
