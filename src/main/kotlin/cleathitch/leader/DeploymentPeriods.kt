package cleathitch.leader

import cleathitch.scheduler.model.Deployment

// The deployment's periods in milliseconds, the unit of clocks, timers and timeouts.

/** The interval between two heartbeats of a worker. */
val Deployment.heartbeatPeriodMs get() = toMs(heartbeatPeriodS)

/** How long a worker's lease is valid after its last renewal. */
val Deployment.workerLeaseMs get() = toMs(workerLeaseS)

/** The maximum time by which the cloud provider's list of machines lags behind the actual state of the machines. */
val Deployment.machineListLagMs get() = toMs(machineListLagS)

private fun toMs(seconds: Double) = (seconds * 1000).toLong()
