package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt

/** Which tasks to stop for a job of higher priority. */
class PreemptionPlan(
    /** The attempts to stop. */
    val victims: List<Attempt>,
    /** For how many tasks of the job that makes room, together with what is being stopped already. */
    val tasks: Int,
)
