package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.workers.ForwardOutcome
import cleathitch.workers.HeartbeatQueue

/** Forwards the heartbeats that reach [follower] to a leader, one batch at a time, and hands its decisions back. */
class SimulatedForwarder(private val cluster: SimulatedCluster, private val follower: SimulatedController) {
    private var queue = HeartbeatQueue(FORWARD_WITHIN_MS)
    private var openBatch: HeartbeatQueue.Batch? = null

    /** A killed process forgets what it held. */
    fun reset() {
        queue = HeartbeatQueue(FORWARD_WITHIN_MS)
        openBatch = null
    }

    fun add(heartbeat: Heartbeat, answer: (FencingToken, List<WorkerCommand>) -> Unit) =
        queue.add(heartbeat, follower.steadyMs()) { if (it is ForwardOutcome.Answered) answer(it.token, it.commands) }

    fun forward() {
        if (openBatch != null) return
        // A follower may take a deposed leader for the present one.
        val leader = cluster.randomLeader() ?: return queue.completeAllUnanswered()
        val batch = queue.nextBatch(leader.term, follower.steadyMs())
        if (batch.isEmpty) return
        openBatch = batch
        cluster.events.after(maxOf(1, queue.timeLeftMs(batch, follower.steadyMs()))) { close(batch) { queue.completeUnanswered(batch) } }
        val sendingRun = follower.processRun
        cluster.network.send {
            leader.receive(batch) { decisions ->
                cluster.network.send {
                    if (follower.processRun == sendingRun) {
                        close(batch) { queue.completeDecided(batch, decisions, cluster.leader?.term, follower.steadyMs()) }
                    }
                }
            }
        }
    }

    /** Only the first end of a batch counts, and a paused follower sees it when it resumes. */
    private fun close(batch: HeartbeatQueue.Batch, action: () -> Unit) {
        if (openBatch !== batch || follower.postponeWhilePaused { close(batch, action) }) return
        openBatch = null
        action()
    }

    private companion object {
        const val FORWARD_WITHIN_MS = 3000L
    }
}
