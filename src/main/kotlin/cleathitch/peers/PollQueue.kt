package cleathitch.peers

import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId

/**
 * The polls of users that a follower has taken in and that wait for the leader's answer. Polls for the same job that
 * wait together share an answer. The queue has no clock and does no I/O.
 */
class PollQueue(private val answerWithinMs: Long) {
    private class Waiting(val sinceMs: Long, val reply: (UserReply?) -> Unit)

    private val waiting = LinkedHashMap<JobId, MutableList<Waiting>>()

    /** Polls that were sent and wait for the answer; those that come later wait for the next one. */
    private val sent = HashMap<JobId, List<Waiting>>()

    val isEmpty get() = waiting.isEmpty()

    /** Takes a poll in; [reply] is called once, with null if there is no answer. */
    fun add(job: JobId, nowMs: Long, reply: (UserReply?) -> Unit) {
        waiting.getOrPut(job) { ArrayList() } += Waiting(nowMs, reply)
    }

    /** The jobs to ask about next, [most] at most. */
    fun take(most: Int): List<JobId> {
        val jobs = waiting.keys.take(most)
        jobs.forEach { sent[it] = waiting.remove(it).orEmpty() }
        return jobs
    }

    /** The leader's answers about [jobs]; what waited for too long gets none, since its user has given up. */
    fun answered(jobs: List<JobId>, statuses: List<UserReply>, nowMs: Long) {
        if (statuses.size != jobs.size) return unanswered(jobs)
        for ((job, status) in jobs.zip(statuses)) {
            sent.remove(job).orEmpty().forEach { it.reply(if (nowMs - it.sinceMs < answerWithinMs) status else null) }
        }
    }

    fun unanswered(jobs: List<JobId>) {
        jobs.forEach { job -> sent.remove(job).orEmpty().forEach { it.reply(null) } }
    }

    /** Nobody leads whom the waiting polls could go to. */
    fun refuseAll() {
        unanswered(take(waiting.size))
    }
}
