package cleathitch.peers

import cleathitch.scheduler.model.JobId
import cleathitch.workers.HeartbeatQueue

/** What a follower forwards to the leader in one request. */
class OutgoingBatch(val heartbeats: HeartbeatQueue.Batch, val polls: List<JobId>, val deliveryResults: List<DeliveryResult>) {
    /** There is nothing to send. */
    val isEmpty get() = heartbeats.isEmpty && polls.isEmpty() && deliveryResults.isEmpty()
}
