package cleathitch.peers

import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId

/**
 * Users' polls that a follower has received and that the leader is to answer. Polls for the same job that wait at the
 * same time share an answer. The queue has no clock and does no I/O. Confined to the event loop of its [LeaderBatcher].
 */
class PollQueue(private val answerTimeoutMs: Long) {
    private class PendingPoll(val arrivedMs: Long, val complete: (PollOutcome) -> Unit)

    private val waiting = LinkedHashMap<JobId, MutableList<PendingPoll>>()

    /**
     * Polls that have been sent to the leader. A poll for the same job that arrives later doesn't share their answer, which may
     * be older than a state that the later poll's user has already seen.
     */
    private val inFlight = HashMap<JobId, List<PendingPoll>>()

    /** Whether no poll is waiting to be sent; some may be in flight. */
    val isEmpty get() = waiting.isEmpty()

    /** Queues a poll; [complete] is called exactly once, with the outcome. */
    fun add(job: JobId, nowMs: Long, complete: (PollOutcome) -> Unit) {
        waiting.getOrPut(job) { ArrayList() } += PendingPoll(nowMs, complete)
    }

    /** Marks the polls for at most [limit] jobs, starting with the longest-waiting job, as in flight. Returns these jobs. */
    fun take(limit: Int): List<JobId> {
        val jobs = waiting.keys.take(limit)
        jobs.forEach { inFlight[it] = waiting.remove(it).orEmpty() }
        return jobs
    }

    /** Completes the polls for [jobs] with the leader's [statuses], in the same order, or as unanswered if the numbers differ. */
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

    /** Completes the polls in flight for [jobs] as unanswered. */
    fun completeUnanswered(jobs: List<JobId>) = complete(jobs, PollOutcome.Reason.NO_ANSWER)

    /** Completes all waiting polls as unanswered, because no leader is known. */
    fun completeAllWithoutLeader() = complete(take(waiting.size), PollOutcome.Reason.NO_LEADER)

    private fun complete(jobs: List<JobId>, reason: PollOutcome.Reason) {
        jobs.forEach { job -> inFlight.remove(job).orEmpty().forEach { it.complete(PollOutcome.Unanswered(reason)) } }
    }
}
