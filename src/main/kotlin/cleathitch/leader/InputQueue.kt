package cleathitch.leader

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.JobId

/**
 * The commands that wait for the engine, handed out in bounded batches, the urgent ones first.
 *
 * Requests beyond [maxRequests] are refused, so a flood costs memory and time within limits. Each batch takes
 * everything that is known of lease and commits and a bounded part of every other kind, so no kind waits for the end of
 * another. Requests about the same job and reports of the same machine stay in their order.
 */
class InputQueue(private val maxRequests: Int) {
    /** The kinds of commands in the order in which a batch holds them. */
    private enum class Urgency(val maxPerBatch: Int, val isRequest: Boolean) {
        /** What was asked of others and is answered by now: lease, commits, machine types. */
        OUTCOME(Int.MAX_VALUE, isRequest = false),
        HEARTBEAT_OR_CANCELLATION(256, isRequest = true),
        POLL(128, isRequest = true),
        SUBMISSION(64, isRequest = true),
        OTHER(16, isRequest = false),
    }

    private val waiting = Urgency.entries.associateWith { ArrayDeque<Input>() }

    /** How many submissions of each job wait: what is asked about the job later must not overtake them. */
    private val waitingSubmissions = HashMap<JobId, Int>()

    /** How many requests wait, of all kinds. */
    var requests = 0
        private set

    val isEmpty get() = waiting.values.all { it.isEmpty() }

    /** Adds the command; false if it is a request and too many wait already. */
    fun offer(command: Input): Boolean {
        val urgency = urgencyOf(command)
        if (urgency.isRequest) {
            if (requests >= maxRequests) return false
            requests++
        }
        if (command is Input.Submit) waitingSubmissions.merge(command.spec.id, 1, Int::plus)
        waiting.getValue(urgency).addLast(command)
        return true
    }

    /** The next commands for the engine; requests that nobody awaits any more are dropped. */
    fun nextBatch(isAwaited: (Input) -> Boolean): List<Input> {
        val batch = ArrayList<Input>()
        for ((urgency, commands) in waiting) {
            repeat(minOf(urgency.maxPerBatch, commands.size)) {
                val command = commands.removeFirst()
                recordRemoval(command, urgency)
                if (isAwaited(command)) batch += command
            }
        }
        return batch
    }

    private fun recordRemoval(command: Input, urgency: Urgency) {
        if (urgency.isRequest) requests--
        if (command is Input.Submit) {
            waitingSubmissions.computeIfPresent(command.spec.id) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    private fun urgencyOf(command: Input): Urgency = when (command) {
        is Input.LeaseRenewed, is Input.CommitSucceeded, is Input.MachineTypesListed, is Input.ImageCacheHintsReceived -> Urgency.OUTCOME
        is Input.HeartbeatReceived, is Input.FollowerBatchReceived, is Input.ProbeAnswered, is Input.DirectCallUnanswered ->
            Urgency.HEARTBEAT_OR_CANCELLATION
        is Input.Cancel -> if (command.job in waitingSubmissions) Urgency.SUBMISSION else Urgency.HEARTBEAT_OR_CANCELLATION
        is Input.Poll -> if (command.job in waitingSubmissions) Urgency.SUBMISSION else Urgency.POLL
        is Input.Submit -> Urgency.SUBMISSION
        is Input.MachinesListed, is Input.RentalCompleted, is Input.MachinesTerminated, Input.Tick -> Urgency.OTHER
    }
}
