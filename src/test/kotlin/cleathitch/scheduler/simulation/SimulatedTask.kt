package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus

/** An attempt on a worker: it has its image at [imageAtMs] and ends by itself at [endsAtMs], a service's never. */
class SimulatedTask(val id: AttemptId, private val imageAtMs: Long, private val endsAtMs: Long?) {
    private var state = TaskState.FETCHING
    private var exitReason: ExitReason? = null

    val hasExited get() = state == TaskState.EXITED

    fun status() = TaskStatus(id, state, exitReason)

    /** A task runs from when it has its image until it exits. */
    fun isRunning(nowMs: Long) = imageAtMs <= nowMs && !hasExited

    /** True if the task completed with this step. */
    fun advance(nowMs: Long): Boolean {
        if (state == TaskState.FETCHING && imageAtMs <= nowMs) state = TaskState.RUNNING
        if (state != TaskState.RUNNING || endsAtMs == null || endsAtMs > nowMs) return false
        exit(ExitReason.DONE)
        return true
    }

    fun stop() {
        if (!hasExited) exit(ExitReason.STOPPED)
    }

    private fun exit(reason: ExitReason) {
        state = TaskState.EXITED
        exitReason = reason
    }
}
