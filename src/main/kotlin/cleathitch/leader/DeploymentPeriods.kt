package cleathitch.leader

import cleathitch.scheduler.model.Deployment

// The deployment's periods in the milliseconds in which clocks, timers and timeouts count.

/** How often a worker sends a heartbeat. */
val Deployment.heartbeatPeriodMs get() = toMs(reportS)

/** For how long a worker's lease outlives its last renewal. */
val Deployment.workerLeaseMs get() = toMs(leaseS)

/** By how much the cloud's list of machines lags behind. */
val Deployment.listLagMs get() = toMs(listLagS)

private fun toMs(seconds: Double) = (seconds * 1000).toLong()
