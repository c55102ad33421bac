package cleathitch.scheduler.log

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.TaskId

/** The metadata that compaction keeps in memory about a record in the key-value store. */
internal class RetainedRecord(events: List<Event>) {
    /** The keys of the snapshots that together replace the record, in the order of its events. */
    val snapshotKeys: Set<String> = events.mapTo(LinkedHashSet(), LogKeys::snapshotOf)

    val eventCount = events.size

    /** The attempts started in the record that were still unobserved at the last check. */
    private val unobservedStarts = events.filterIsInstance<Event.AttemptStarted>()
        .mapTo(ArrayList()) { AttemptId(TaskId(it.job, it.taskIndex), it.number) }

    /** Whether the record contains the start of a live attempt that no heartbeat has reported yet; such a record isn't deleted. */
    fun hasUnobservedStarts(jobs: LoggedJobs): Boolean {
        unobservedStarts.removeIf { !jobs.isStartUnobserved(it) }
        return unobservedStarts.isNotEmpty()
    }
}
