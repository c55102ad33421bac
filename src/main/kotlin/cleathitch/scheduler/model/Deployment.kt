package cleathitch.scheduler.model

/** What the core needs to know of the deployment. */
data class Deployment(
    val zones: List<String>,
    val teams: Map<String, Team>,
    val objectives: List<Objective>,
    val reportS: Double,
    val leaseS: Double,
    val cancelS: Double,
    val stateRps: Double,
    val stateWriteRps: Double,
    val stateValueBytes: Int,
    val stateTxnOps: Int,
    val cloudRps: Double,
    val listLagS: Double,
    val nodes: Int,
)
