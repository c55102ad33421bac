package cleathitch.scheduler.model

/** The figures of the deployment that the scheduler's decisions rest on, as the settings give them. */
data class Deployment(
    val zones: List<String>,
    /** The teams that may submit jobs, by name. */
    val teams: Map<String, Team>,
    /** Service-level objectives. */
    val objectives: List<Objective>,
    /** Period of the workers' heartbeats. */
    val reportS: Double,
    /** For how long a worker runs its tasks without a new answer to its heartbeats. */
    val leaseS: Double,
    /** Within this time after its confirmed cancellation no task of a job may run; longer than [leaseS]. */
    val cancelS: Double,
    /** Requests a second that the key-value store allows. */
    val stateRps: Double,
    /** Changes of keys a second that the key-value store allows. */
    val stateWriteRps: Double,
    /** Size limit of one stored value, in bytes. */
    val stateValueBytes: Int,
    /** Limit on the operations of one compare-and-swap transaction. */
    val stateTxnOps: Int,
    /** Calls a second that the cloud allows. */
    val cloudRps: Double,
    /** By how much the cloud's list of machines may lag behind, in seconds. */
    val listLagS: Double,
    /** How many controllers there are. */
    val nodes: Int,
)
