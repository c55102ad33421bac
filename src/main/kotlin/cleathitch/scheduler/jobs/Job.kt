package cleathitch.scheduler.jobs

import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import java.util.BitSet
import java.util.TreeSet

/**
 * A job from its acceptance until nothing of it runs any more. Owned by [JobTable], which applies the events to it; confined
 * to the leader's event loop.
 */
class Job(
    val spec: JobSpec,
    /** The wall clock's time of the acceptance, from which the job's age is counted across terms. */
    val acceptedAtWallMs: Long,
    /** The record that accepts the job: nothing of it is shown to users before that is committed. */
    val acceptedIndex: LogIndex,
) {
    val id: JobId get() = spec.id

    private val completedTasks = BitSet()

    /** How many tasks are complete. */
    var doneCount = 0
        private set

    private val attemptsByTask = LinkedHashMap<Int, Attempt>()

    /** The attempts that may still be running, by task index, the oldest first. */
    val liveAttempts: Map<Int, Attempt> get() = attemptsByTask

    /** The highest attempt number given so far. */
    var lastAttemptNumber = 0L
        private set

    /** The record that cancels the job, null while it isn't cancelled. */
    var cancelledIndex: LogIndex? = null
        private set

    /** The record with the job's last result, null while tasks are missing. */
    var finishedIndex: LogIndex? = null
        private set

    /** Tasks that have failed by themselves since the last that completed. */
    private var consecutiveFailures = 0

    /** Until then no task of the job is started again after a failure. */
    var retryNotBeforeMs = 0L
        private set

    /** No task below this index is waiting for its first attempt. */
    private var nextFreshIndex = 0

    /** Tasks that wait for another attempt; they go first. */
    private val retryIndexes = TreeSet<Int>()

    val isCancelled: Boolean get() = cancelledIndex != null

    /** Whether nothing of the job is started any more. */
    val isOver: Boolean get() = isCancelled || finishedIndex != null

    /** How many tasks wait to be started. */
    val waitingTasks: Int get() = if (isOver) 0 else spec.tasks - doneCount - attemptsByTask.size

    /** Whether the task's result is there. */
    fun isDone(index: Int): Boolean = completedTasks[index]

    /** The completed tasks as a bit set, in the form of [restoreProgress]. */
    fun doneBits(): ByteArray = completedTasks.toByteArray()

    /** The index of the task to start next, null if none waits. */
    fun nextWaiting(): Int? {
        if (isOver) return null
        retryIndexes.firstOrNull()?.let { return it }
        while (nextFreshIndex < spec.tasks && (completedTasks[nextFreshIndex] || nextFreshIndex in attemptsByTask)) nextFreshIndex++
        return nextFreshIndex.takeIf { it < spec.tasks }
    }

    /** Stops what may still run of a job that is over. */
    fun stopIfOver() {
        if (isOver) attemptsByTask.values.forEach { it.requestStop(StopCause.CANCELLED) }
    }

    /** A task has failed by itself: the time before the next start doubles with each failure, from [firstDelayMs] to [limitMs]. */
    fun recordFailure(nowMs: Long, firstDelayMs: Long, limitMs: Long) {
        consecutiveFailures++
        val delayMs = firstDelayMs shl minOf(consecutiveFailures - 1, MAX_DELAY_DOUBLINGS)
        retryNotBeforeMs = nowMs + minOf(limitMs, delayMs)
    }

    /** A task has completed, so the delay after the next failure is short again. */
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
        doneCount++
        retryIndexes.remove(index)
        if (doneCount == spec.tasks && !isCancelled) finishedIndex = recordIndex
    }

    /** Takes over the progress that a snapshot holds. */
    internal fun restoreProgress(doneBits: ByteArray, lastAttemptNumber: Long) {
        completedTasks.or(BitSet.valueOf(doneBits))
        doneCount = completedTasks.cardinality()
        if (doneCount == spec.tasks) finishedIndex = LogIndex.NONE
        this.lastAttemptNumber = lastAttemptNumber
    }

    private companion object {
        /** Keeps the shift far from an overflow; the limit bounds the delay long before. */
        const val MAX_DELAY_DOUBLINGS = 20
    }
}
