package cleathitch.scheduler.jobs

import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import java.util.BitSet
import java.util.TreeSet

/**
 * A job from its acceptance until it is archived. Owned by [JobTable], which applies events to it; confined to the leader's event
 * loop.
 */
class Job(
    val spec: JobSpec,
    /** The wall-clock time of the acceptance; the job's age is measured from it across terms. */
    val acceptedAtWallMs: Long,
    /** The record that contains the acceptance; the job isn't visible to users before that record is committed. */
    val acceptedIndex: LogIndex,
) {
    val id: JobId get() = spec.id

    private val completedTasks = BitSet()

    /** The number of completed tasks. */
    var completedCount = 0
        private set

    private val attemptsByTask = LinkedHashMap<Int, Attempt>()

    /** The attempts that may still be running, by task index, in the order in which they were started. */
    val liveAttempts: Map<Int, Attempt> get() = attemptsByTask

    /** The highest attempt number assigned so far. */
    var lastAttemptNumber = 0L
        private set

    /** The record that contains the cancellation, null if the job isn't cancelled. */
    var cancelledIndex: LogIndex? = null
        private set

    /**
     * The record that contains the completion of the last task, null while tasks are incomplete. It has no meaning if the job is
     * cancelled.
     */
    var completedIndex: LogIndex? = null
        private set

    /** Task failures since the last task completion. */
    private var consecutiveFailures = 0

    /** Retry delay after a task failure: no task of the job is started before this time of the monotonic clock. */
    var retryNotBeforeMs = 0L
        private set

    /** All tasks with a lower index have had an attempt or are completed. */
    private var nextUnstartedIndex = 0

    /** Indexes of tasks that wait for another attempt; these are started before tasks that had none yet. */
    private val retryIndexes = TreeSet<Int>()

    val isCancelled: Boolean get() = cancelledIndex != null

    /** Whether the job is cancelled or completed, so that none of its tasks is started any more. */
    val isTerminal: Boolean get() = isCancelled || completedIndex != null

    /** The number of tasks that wait to be started. */
    val waitingTasks: Int get() = if (isTerminal) 0 else spec.tasks - completedCount - attemptsByTask.size

    /** Whether the task is completed. */
    fun isTaskCompleted(index: Int): Boolean = completedTasks[index]

    /** The indexes of the completed tasks as a bit set, in the format that [restoreProgress] reads. */
    fun completedTaskBits(): ByteArray = completedTasks.toByteArray()

    /** The index of the task to start next, null if no task waits. */
    fun nextWaitingTask(): Int? {
        if (isTerminal) return null
        retryIndexes.firstOrNull()?.let { return it }
        while (nextUnstartedIndex < spec.tasks && (completedTasks[nextUnstartedIndex] || nextUnstartedIndex in attemptsByTask)) {
            nextUnstartedIndex++
        }
        return nextUnstartedIndex.takeIf { it < spec.tasks }
    }

    /** Requests a stop of all live attempts if the job is in a terminal state. */
    fun stopIfTerminal() {
        if (isTerminal) attemptsByTask.values.forEach { it.requestStop(StopCause.CANCELLED) }
    }

    /**
     * Records a task failure and sets the retry delay, which starts at [firstDelayMs] and doubles with each consecutive failure, up to
     * [limitMs].
     */
    fun recordFailure(nowMs: Long, firstDelayMs: Long, limitMs: Long) {
        consecutiveFailures++
        val delayMs = firstDelayMs shl minOf(consecutiveFailures - 1, MAX_DELAY_DOUBLINGS)
        retryNotBeforeMs = nowMs + minOf(limitMs, delayMs)
    }

    /** Records a task completion, which resets the retry delay. */
    fun recordSuccess() {
        consecutiveFailures = 0
    }

    internal fun recordCancellation(recordIndex: LogIndex) {
        cancelledIndex = recordIndex
    }

    internal fun recordStart(attempt: Attempt) {
        val index = attempt.id.task.index
        attemptsByTask[index] = attempt
        retryIndexes.remove(index)
        lastAttemptNumber = maxOf(lastAttemptNumber, attempt.id.number)
    }

    internal fun recordEnd(index: Int) {
        attemptsByTask.remove(index)
        if (!completedTasks[index]) retryIndexes.add(index)
    }

    internal fun recordCompletion(index: Int, recordIndex: LogIndex) {
        if (completedTasks[index]) return
        completedTasks.set(index)
        completedCount++
        retryIndexes.remove(index)
        if (completedCount == spec.tasks && !isCancelled) completedIndex = recordIndex
    }

    /** Restores the progress stored in a snapshot. */
    internal fun restoreProgress(completedTaskBits: ByteArray, lastAttemptNumber: Long) {
        completedTasks.or(BitSet.valueOf(completedTaskBits))
        completedCount = completedTasks.cardinality()
        if (completedCount == spec.tasks) completedIndex = LogIndex.NONE
        this.lastAttemptNumber = lastAttemptNumber
    }

    private companion object {
        /** Prevents the shift from overflowing; the delay reaches its limit long before. */
        const val MAX_DELAY_DOUBLINGS = 20
    }
}
