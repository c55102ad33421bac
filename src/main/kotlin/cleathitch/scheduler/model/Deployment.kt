package cleathitch.scheduler.model

/** The deployment parameters from the settings that the scheduler's decisions depend on. */
data class Deployment(
    val zones: List<String>,
    /** The teams that may submit jobs, by name. */
    val teams: Map<String, Team>,
    /** Service-level objectives. */
    val objectives: List<Objective>,
    /** Period of the workers' heartbeats, in seconds. */
    val heartbeatPeriodS: Double,
    /** Lease duration of a worker, in seconds: how long it runs its tasks without a new reply to its heartbeats. */
    val workerLeaseS: Double,
    /** Seconds after the confirmation of a job's cancellation by which all its tasks must have ended; longer than [workerLeaseS]. */
    val cancellationDeadlineS: Double,
    /** Rate limit of the key-value store, in requests per second. */
    val storeRequestsPerS: Double,
    /** Write rate limit of the key-value store, in key changes per second. */
    val storeWritesPerS: Double,
    /** Size limit of a stored value, in bytes. */
    val maxStoredValueBytes: Int,
    /** Limit on the operations of one compare-and-swap transaction. */
    val maxTransactionOps: Int,
    /** Rate limit of the cloud provider, in calls per second. */
    val cloudCallsPerS: Double,
    /** Maximum lag of the cloud provider's machine list, in seconds. */
    val machineListLagS: Double,
    /** Number of controllers. */
    val controllerCount: Int,
) {
    /** The limits of the key-value store on one transaction. */
    val storeLimits get() = StoreLimits(StoreLimits.MAX_TRANSACTION_BYTES, maxStoredValueBytes, maxTransactionOps)
}
