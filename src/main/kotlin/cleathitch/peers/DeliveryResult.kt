package cleathitch.peers

import cleathitch.scheduler.model.Heartbeat

/** The report with which a worker answered a command that this node delivered for the leader of [term]. */
class DeliveryResult(val term: Long, val id: Long, val report: Heartbeat)
