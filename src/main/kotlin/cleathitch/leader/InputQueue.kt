package cleathitch.leader

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.JobId

/**
 * Queue of the scheduler's inputs, which are taken from it in batches and by priority class. Confined to the event loop.
 *
 * Requests beyond [maxQueuedRequests] are refused, which bounds memory and latency under overload. The results of probes and direct
 * command calls count as requests. Each batch takes a bounded number of inputs of each class except the first, so that no class
 * starves another. A poll or cancellation does not overtake an earlier submission of the same job; only a poll in a follower's batch
 * may do so. Heartbeats of the same machine stay in order.
 */
class InputQueue(private val maxQueuedRequests: Int) {
    /** The priority classes, in the order in which their inputs are placed in a batch. */
    private enum class PriorityClass(val maxPerBatch: Int, val isRequest: Boolean) {
        /** Lease renewals, commits, machine types and image cache hints; each batch takes all of them. */
        UNBOUNDED(maxPerBatch = Int.MAX_VALUE, isRequest = false),

        /** Heartbeats, results of probes and direct command calls, and cancellations. */
        HEARTBEAT_OR_CANCELLATION(maxPerBatch = 256, isRequest = true),
        POLL(maxPerBatch = 128, isRequest = true),
        SUBMISSION(maxPerBatch = 64, isRequest = true),
        OTHER(maxPerBatch = 16, isRequest = false),
    }

    private val queued = PriorityClass.entries.associateWith { ArrayDeque<Input>() }

    /** The number of queued submissions of each job. Later polls and cancellations of the job are queued behind them. */
    private val queuedSubmissions = HashMap<JobId, Int>()

    /** The number of queued requests of all classes. */
    var queuedRequests = 0
        private set

    /** Whether no input is queued. */
    val isEmpty get() = queued.values.all { it.isEmpty() }

    /** Adds [input]; returns false if it is a request and [maxQueuedRequests] are queued already. */
    fun offer(input: Input): Boolean {
        val priority = priorityOf(input)
        if (priority.isRequest) {
            if (queuedRequests >= maxQueuedRequests) return false
            queuedRequests++
        }
        if (input is Input.Submit) queuedSubmissions.merge(input.spec.id, 1, Int::plus)
        queued.getValue(priority).addLast(input)
        return true
    }

    /** Removes and returns the next batch of inputs; drops requests whose sender no longer awaits an answer. */
    fun nextBatch(isAwaited: (Input) -> Boolean): List<Input> {
        val batch = ArrayList<Input>()
        for ((priority, inputs) in queued) {
            repeat(minOf(priority.maxPerBatch, inputs.size)) {
                val input = inputs.removeFirst()
                recordRemoval(input, priority)
                if (isAwaited(input)) batch += input
            }
        }
        return batch
    }

    private fun recordRemoval(input: Input, priority: PriorityClass) {
        if (priority.isRequest) queuedRequests--
        if (input is Input.Submit) {
            queuedSubmissions.computeIfPresent(input.spec.id) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    private fun priorityOf(input: Input): PriorityClass = when (input) {
        is Input.LeaseRenewed, is Input.CommitSucceeded, is Input.CommitRejected, is Input.MachineTypesListed,
        is Input.ImageCacheHintsReceived,
        ->
            PriorityClass.UNBOUNDED
        is Input.HeartbeatReceived, is Input.FollowerBatchReceived, is Input.ProbeAnswered, is Input.DirectCallUnanswered ->
            PriorityClass.HEARTBEAT_OR_CANCELLATION
        is Input.Cancel -> if (input.job in queuedSubmissions) PriorityClass.SUBMISSION else PriorityClass.HEARTBEAT_OR_CANCELLATION
        is Input.Poll -> if (input.job in queuedSubmissions) PriorityClass.SUBMISSION else PriorityClass.POLL
        is Input.Submit -> PriorityClass.SUBMISSION
        is Input.MachinesListed, is Input.RentalCompleted, is Input.MachinesTerminated, Input.Tick -> PriorityClass.OTHER
    }
}
