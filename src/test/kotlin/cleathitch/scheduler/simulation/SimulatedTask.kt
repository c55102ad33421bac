package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus

/** A task attempt on a worker. Its image is ready at [imageReadyAtMs]. It completes at [endsAtMs], or never if that is null (services). */
class SimulatedTask(val id: AttemptId, private val imageReadyAtMs: Long, private val endsAtMs: Long?) {
    private var state = TaskState.FETCHING
    private var exitReason: ExitReason? = null

    val hasExited get() = state == TaskState.EXITED

    fun status() = TaskStatus(id, state, exitReason)

    /** Whether the task runs. It runs from the time its image is ready until it exits. */
    fun isRunning(nowMs: Long) = imageReadyAtMs <= nowMs && !hasExited

    /** Updates the state to [nowMs]. Returns true if the task has completed by this call. */
    fun advance(nowMs: Long): Boolean {
        if (state == TaskState.FETCHING && imageReadyAtMs <= nowMs) state = TaskState.RUNNING
        if (state != TaskState.RUNNING || endsAtMs == null || endsAtMs > nowMs) return false
        exit(ExitReason.DONE)
        return true
    }

    fun stop() {
        if (!hasExited) exit(ExitReason.STOPPED)
    }

    fun fail() {
        if (state == TaskState.RUNNING) exit(ExitReason.ERROR)
    }

    private fun exit(reason: ExitReason) {
        state = TaskState.EXITED
        exitReason = reason
    }
}
