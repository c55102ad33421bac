package cleathitch.peers

import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId

/**
 * The polls of users that a follower has received and that wait for the leader's answer. Polls for the same job that wait
 * together share an answer. The queue has no clock and does no I/O; it is confined to the event loop of its [LeaderBatcher].
 */
class PollQueue(private val answerTimeoutMs: Long) {
    private class PendingPoll(val arrivedMs: Long, val complete: (PollOutcome) -> Unit)

    private val waiting = LinkedHashMap<JobId, MutableList<PendingPoll>>()

    /**
     * Polls that are on their way to the leader. A poll that arrives meanwhile waits for the next answer: the present one may
     * be older than what its user has learned since.
     */
    private val inFlight = HashMap<JobId, List<PendingPoll>>()

    /** No poll waits to be sent; some may be in flight. */
    val isEmpty get() = waiting.isEmpty()

    /** Adds a poll; [complete] is called once, with its outcome. */
    fun add(job: JobId, nowMs: Long, complete: (PollOutcome) -> Unit) {
        waiting.getOrPut(job) { ArrayList() } += PendingPoll(nowMs, complete)
    }

    /** Moves the oldest waiting polls to those in flight, and returns their jobs, [limit] at most. */
    fun take(limit: Int): List<JobId> {
        val jobs = waiting.keys.take(limit)
        jobs.forEach { inFlight[it] = waiting.remove(it).orEmpty() }
        return jobs
    }

    /** Completes the polls of [jobs] with the leader's answers, in the same order. With another number of answers, none counts. */
    fun completeAnswered(jobs: List<JobId>, statuses: List<UserReply>, nowMs: Long) {
        if (statuses.size != jobs.size) return completeUnanswered(jobs)
        for ((job, status) in jobs.zip(statuses)) {
            inFlight.remove(job).orEmpty().forEach { it.complete(outcome(it, status, nowMs)) }
        }
    }

    private fun outcome(poll: PendingPoll, status: UserReply, nowMs: Long): PollOutcome {
        val isInTime = nowMs - poll.arrivedMs < answerTimeoutMs
        return if (isInTime) PollOutcome.Answered(status) else PollOutcome.Unanswered(PollOutcome.Reason.TOO_LATE)
    }

    /** Completes the polls of [jobs], which are in flight, without an answer. */
    fun completeUnanswered(jobs: List<JobId>) = complete(jobs, PollOutcome.Reason.NO_ANSWER)

    /** Completes every waiting poll without an answer, since there is no leader to ask. */
    fun completeAllWithoutLeader() = complete(take(waiting.size), PollOutcome.Reason.NO_LEADER)

    private fun complete(jobs: List<JobId>, reason: PollOutcome.Reason) {
        jobs.forEach { job -> inFlight.remove(job).orEmpty().forEach { it.complete(PollOutcome.Unanswered(reason)) } }
    }
}
