package cleathitch.peers

import cleathitch.scheduler.model.Heartbeat

/** The heartbeat with which a worker answered the delivery [id], which this controller made for the leader of [term]. */
class DeliveryResult(val term: Long, val id: Long, val heartbeat: Heartbeat)
