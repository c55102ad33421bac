package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.machines.Machine

/** The room to be made for a job, machine by machine. */
class PreemptionPlan(
    val assignments: List<Assignment>,
    /** What the zones may take in addition to the tasks for which room is made. */
    val remainingAllowance: ZoneAllowance,
) {
    /** Room for [tasks] tasks on a machine, once [victims] and the attempts that are already stopping there have ended. */
    class Assignment(
        val machine: Machine,
        val tasks: Int,
        /** The attempts to stop. */
        val victims: List<Attempt>,
        /** The longest time that one of the attempts to be waited for needs to write a checkpoint, in seconds. */
        val checkpointWriteS: Double,
    )

    /** The attempts to stop. */
    val victims: List<Attempt> get() = assignments.flatMap { it.victims }

    /** The number of the job's tasks that fit once all of the attempts have ended. */
    val tasks: Int get() = assignments.sumOf { it.tasks }
}
