package cleathitch.peers

import cleathitch.scheduler.model.JobId
import cleathitch.workers.HeartbeatQueue

/** The heartbeats, polls and delivery results that a follower forwards to the leader in one request. */
class OutgoingBatch(val heartbeats: HeartbeatQueue.Batch, val polls: List<JobId>, val deliveryResults: List<DeliveryResult>) {
    /** Whether there is nothing to send. */
    val isEmpty get() = heartbeats.isEmpty && polls.isEmpty() && deliveryResults.isEmpty()
}
