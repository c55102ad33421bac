package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.workers.ForwardOutcome
import cleathitch.workers.HeartbeatQueue

/** Forwards the heartbeats that [follower] receives to a leader, one batch at a time, and returns the leader's decisions. */
class SimulatedHeartbeatForwarder(private val cluster: SimulatedCluster, private val follower: SimulatedController) {
    private var queue = HeartbeatQueue(FORWARD_TIMEOUT_MS)
    private var batchInFlight: HeartbeatQueue.Batch? = null

    /** Discards all queued heartbeats. Called when the follower's process is killed. */
    fun reset() {
        queue = HeartbeatQueue(FORWARD_TIMEOUT_MS)
        batchInFlight = null
    }

    fun add(heartbeat: Heartbeat, answer: (FencingToken, List<WorkerCommand>) -> Unit) =
        queue.add(heartbeat, follower.monotonicMs()) { if (it is ForwardOutcome.Answered) answer(it.token, it.commands) }

    fun forward() {
        if (batchInFlight != null) return
        // This may be a deposed controller, because a follower may not know yet that the leader has changed.
        val leader = cluster.randomLeader() ?: return queue.completeAllUnanswered()
        val batch = queue.nextBatch(leader.term, follower.monotonicMs())
        if (batch.isEmpty) return
        batchInFlight = batch
        cluster.events.schedule(maxOf(1, queue.timeLeftMs(batch, follower.monotonicMs()))) {
            close(batch) { queue.completeUnanswered(batch) }
        }
        val sendingIncarnation = follower.incarnation
        cluster.network.send {
            leader.receive(batch) { decisions ->
                cluster.network.send {
                    if (follower.incarnation == sendingIncarnation) {
                        close(batch) { queue.completeWithDecisions(batch, decisions, cluster.leader?.term, follower.monotonicMs()) }
                    }
                }
            }
        }
    }

    /** Runs [action] for the first outcome of [batch] and ignores later ones. A paused follower sees the outcome when it resumes. */
    private fun close(batch: HeartbeatQueue.Batch, action: () -> Unit) {
        if (batchInFlight !== batch || follower.deferWhilePaused { close(batch, action) }) return
        batchInFlight = null
        action()
    }

    private companion object {
        const val FORWARD_TIMEOUT_MS = 3000L
    }
}
