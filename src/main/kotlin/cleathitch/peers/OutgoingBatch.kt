package cleathitch.peers

import cleathitch.scheduler.model.JobId
import cleathitch.workers.HeartbeatQueue

/** What a follower hands to the leader in one request. */
class OutgoingBatch(val reports: HeartbeatQueue.Batch, val polls: List<JobId>, val directResults: List<DeliveryResult>)
