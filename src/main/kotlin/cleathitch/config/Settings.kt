package cleathitch.config

import cleathitch.http.Address
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.Team
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.ObjectMapper
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Another controller and its internal address. */
data class Peer(val member: String, val address: Address)

/**
 * The settings that the platform passes to a controller, read from one JSON file. Unknown keys are ignored.
 *
 * @property member the name that identifies this controller among its [peers].
 * @property domain the zone in which this controller runs.
 * @property bind the public address, which serves the load balancer, users and workers.
 * @property internalAddress the address that serves other controllers and the metrics.
 * @property cloud the cloud's address.
 * @property state the key-value store's address.
 * @property cpu the number of cores that this process may use.
 * @property memoryMb the memory that this process may use, in MB.
 * @property maxSockets the number of sockets that this process may have open.
 */
data class Settings(
    val member: String,
    val domain: String,
    val bind: Address,
    val internalAddress: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val cpu: Double,
    val memoryMb: Double,
    val maxSockets: Int,
    val deployment: Deployment,
) {
    companion object {
        private const val BYTES_PER_KB = 1024

        /** The log's transactions need a store that accepts at least this many operations in one transaction. */
        private const val MIN_TRANSACTION_OPERATIONS = 8

        /** Reads the file; throws [InvalidSettingsException] if it is invalid or unreadable. */
        fun read(file: Path): Settings {
            val bytes = try {
                Files.readAllBytes(file)
            } catch (e: IOException) {
                throw InvalidSettingsException(file, null, "can't be read (${e.javaClass.simpleName})", e)
            }
            val root = try {
                ObjectMapper().readTree(bytes)
            } catch (e: JsonProcessingException) {
                throw InvalidSettingsException(file, null, "isn't JSON: ${e.originalMessage}", e)
            }
            if (root == null || !root.isObject) throw InvalidSettingsException(file, null, "isn't a JSON object")
            return of(SettingsSection(file, "", root))
        }

        private fun of(root: SettingsSection): Settings {
            val outside = root.section("outside")
            val cluster = root.section("cluster")
            val resources = cluster.section("resources")
            return Settings(
                member = root.text("member"),
                domain = root.text("domain"),
                bind = root.address("bind"),
                internalAddress = root.address("internal_addr"),
                peers = root.sections("seeds").map { Peer(it.text("member"), it.address("addr")) },
                cloud = outside.address("cloud"),
                state = outside.address("state"),
                cpu = resources.positiveNumber("cpu"),
                memoryMb = resources.positiveNumber("memory_mb"),
                maxSockets = resources.positiveNumber("max_sockets").toInt(),
                deployment = deployment(cluster),
            )
        }

        private fun deployment(cluster: SettingsSection): Deployment {
            val workers = cluster.section("workers")
            val state = cluster.section("state")
            val cloud = cluster.section("cloud")
            val deployment = Deployment(
                zones = cluster.texts("zones"),
                teams = cluster.sections("teams").map(::team).associateBy { it.name },
                objectives = cluster.sections("objectives").mapNotNull(::objective),
                heartbeatPeriodS = workers.positiveNumber("report_s"),
                workerLeaseS = workers.positiveNumber("lease_s"),
                cancellationDeadlineS = workers.positiveNumber("cancel_s"),
                storeRequestsPerS = state.positiveNumber("rps"),
                storeWritesPerS = state.positiveNumber("write_rps"),
                maxStoredValueBytes = (state.positiveNumber("value_kb") * BYTES_PER_KB).toInt(),
                maxTransactionOps = state.positiveNumber("txn_ops").toInt(),
                cloudCallsPerS = cloud.positiveNumber("rps"),
                machineListLagS = cloud.nonNegativeNumber("list_lag_s"),
                controllerCount = cluster.positiveNumber("initial_size").toInt(),
            )
            // A cancelled task on an unreachable machine ends only when the worker's lease expires, which must be within cancel_s.
            if (deployment.cancellationDeadlineS <= deployment.workerLeaseS) {
                workers.fail(
                    "cancel_s",
                    "must be longer than lease_s (${deployment.workerLeaseS}), but is ${deployment.cancellationDeadlineS}",
                )
            }
            if (deployment.maxTransactionOps < MIN_TRANSACTION_OPERATIONS) {
                state.fail("txn_ops", "must be at least $MIN_TRANSACTION_OPERATIONS, but is ${deployment.maxTransactionOps}")
            }
            return deployment
        }

        /** In the settings, a maximum of 0 means that there is none. */
        private fun team(section: SettingsSection) = Team(
            section.text("name"),
            section.nonNegativeNumber("cpus"),
            section.nonNegativeNumber("cpus_max").takeIf { it > 0 },
            section.nonNegativeNumber("gpus"),
            section.nonNegativeNumber("gpus_max").takeIf { it > 0 },
        )

        private fun objective(section: SettingsSection): Objective? = when (section.text("kind")) {
            "finished" -> Objective.Completion(section.text("class"), section.positiveNumber("within_s"), section.positiveNumber("share"))
            "wait" -> Objective.StartDelay(section.text("class"), section.positiveNumber("within_s"), section.positiveNumber("share"))
            "guarantee" -> Objective.Guarantee(section.positiveNumber("within_s"), section.positiveNumber("share"))
            // A kind that this version doesn't know is ignored.
            else -> null
        }
    }
}
