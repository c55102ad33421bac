package cleathitch.workers

import cleathitch.core.MachineId
import cleathitch.core.OrderVersion
import cleathitch.core.Report

/** What a follower does with the reports of workers, which belong to the leader. */
class Redirects(private val reportMs: Long) {
    enum class Way {
        TO_LEADER,
        RELAY,

        /** The way may be whole again; the leader gets this report all the same, so that it doesn't miss the worker. */
        RELAY_THEN_TO_LEADER,
    }

    private class Sent(val leader: String, val atMs: Long)

    private val sent = HashMap<MachineId, Sent>()

    /**
     * A worker that was sent to this leader and came back, or that this leader has answered before in its [term], is
     * cut off from it. Without a look at the leader, every worker that an election sent twice would have stayed with
     * a follower; without one at the answers, a leader cut off from all of them missed them for two report periods.
     */
    fun wayOf(report: Report, leader: String, term: Long, nowMs: Long): Way {
        val last = sent[report.machine]?.takeIf { it.leader == leader }
        val lately = last != null && nowMs - last.atMs < reportMs * RELAY_REPORTS
        if (!lately) {
            if (sent.size > MOST_SENT) sent.clear()
            sent[report.machine] = Sent(leader, nowMs)
        }
        val answered = term > 0 && report.version >= OrderVersion.first(term)
        return when {
            !lately && !answered -> Way.TO_LEADER
            last != null && !lately -> Way.RELAY_THEN_TO_LEADER
            else -> Way.RELAY
        }
    }

    private companion object {
        /** A worker that comes back within so many report periods couldn't reach the leader; after that it tries again. */
        const val RELAY_REPORTS = 5

        /** Machines come and go; forgetting the gone ones all at once costs the present ones one redirect. */
        const val MOST_SENT = 100_000
    }
}
