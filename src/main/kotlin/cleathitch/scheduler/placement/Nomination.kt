package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.machines.Machine

/**
 * A machine on which room is being made for tasks of a job. The room, that is what is free already and what the stopping tasks leave,
 * is reserved for the job until its tasks start there, but at most until the nomination expires.
 */
class Nomination(
    val job: Job,
    val machine: Machine,
    /** The number of the job's tasks that are to start on the machine. */
    tasks: Int,
    /** The number of tasks that were stopped for it. */
    val victims: Int,
    val createdAtMs: Long,
    /** How long the stopping tasks may take to end. */
    val durationMs: Long,
) {
    /** The number of the job's tasks that are still to start on the machine. */
    var tasks: Int = tasks
        internal set

    /** Whether the stopping tasks had enough time to end. */
    fun isExpired(nowMs: Long): Boolean = nowMs - createdAtMs >= durationMs
}
