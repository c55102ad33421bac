package cleathitch.scheduler.log

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.TaskId

/** A record in the state service, as far as trimming it goes. */
internal class RetainedRecord(events: List<Event>) {
    val cells = events.mapTo(LinkedHashSet(), DecisionLog::cellOf)

    /** Starts that no report has shown yet, as far as was looked. */
    private val starts = events.filterIsInstance<Event.AttemptStarted>()
        .mapTo(ArrayList()) { AttemptId(TaskId(it.job, it.index), it.number) }

    /** As the design asks: a start stays on record until a report has shown it. */
    fun hasUnseenStarts(jobTable: JobTable): Boolean {
        starts.removeIf { id -> jobTable.attempt(id)?.let { it.observedState != null } ?: true }
        return starts.isNotEmpty()
    }
}
