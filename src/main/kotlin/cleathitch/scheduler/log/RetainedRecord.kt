package cleathitch.scheduler.log

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.TaskId

/** What compaction needs to know of a record in the key-value store. */
internal class RetainedRecord(events: List<Event>) {
    /** The keys of the snapshots that replace the record, in the order of its events. */
    val snapshotKeys: Set<String> = events.mapTo(LinkedHashSet(), LogKeys::snapshotOf)

    /** Starts in the record that no heartbeat had shown when last asked. */
    private val unobservedStarts = events.filterIsInstance<Event.AttemptStarted>()
        .mapTo(ArrayList()) { AttemptId(TaskId(it.job, it.taskIndex), it.number) }

    /** Whether the record holds a start that no heartbeat has shown yet; such a record isn't deleted. */
    fun hasUnobservedStarts(jobs: LoggedJobs): Boolean {
        unobservedStarts.removeIf { !jobs.isStartUnobserved(it) }
        return unobservedStarts.isNotEmpty()
    }
}
