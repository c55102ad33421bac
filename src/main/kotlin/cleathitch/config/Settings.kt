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

/** Another controller, at its internal address. */
data class Peer(val member: String, val address: Address)

/**
 * What the platform hands to a controller, as one JSON file. Keys that aren't known are ignored.
 *
 * @property member the name of this controller among its [peers].
 * @property domain the zone in which this controller runs.
 * @property bind where load balancer, users and workers are served.
 * @property internalAddress where other controllers are served, and the metrics.
 * @property cloud the cloud's address.
 * @property state the key-value store's address.
 * @property cpu the cores that this process may use.
 * @property memoryMb the memory that this process may use.
 * @property maxSockets the sockets that this process may hold.
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

        /** The fewest operations in a transaction that the log is designed for. */
        private const val MIN_TRANSACTION_OPERATIONS = 8

        /** Reads the file; throws [InvalidSettingsException] if it can't be used. */
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
                cpu = resources.positive("cpu"),
                memoryMb = resources.positive("memory_mb"),
                maxSockets = resources.positive("max_sockets").toInt(),
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
                reportS = workers.positive("report_s"),
                leaseS = workers.positive("lease_s"),
                cancelS = workers.positive("cancel_s"),
                stateRps = state.positive("rps"),
                stateWriteRps = state.positive("write_rps"),
                stateValueBytes = (state.positive("value_kb") * BYTES_PER_KB).toInt(),
                stateTxnOps = state.positive("txn_ops").toInt(),
                cloudRps = cloud.positive("rps"),
                listLagS = cloud.amount("list_lag_s"),
                nodes = cluster.positive("initial_size").toInt(),
            )
            // A cancelled task that nobody can reach ends with its machine's lease, which has to be in time.
            if (deployment.cancelS <= deployment.leaseS) workers.fail("cancel_s", "must be longer than lease_s")
            if (deployment.stateTxnOps < MIN_TRANSACTION_OPERATIONS) {
                state.fail("txn_ops", "must be $MIN_TRANSACTION_OPERATIONS at least")
            }
            return deployment
        }

        /** A limit of 0 is none. */
        private fun team(section: SettingsSection) = Team(
            section.text("name"),
            section.amount("cpus"),
            section.amount("cpus_max").takeIf { it > 0 },
            section.amount("gpus"),
            section.amount("gpus_max").takeIf { it > 0 },
        )

        private fun objective(section: SettingsSection): Objective? = when (section.text("kind")) {
            "finished" -> Objective.Finished(section.text("class"), section.positive("within_s"), section.positive("share"))
            "wait" -> Objective.Wait(section.text("class"), section.positive("within_s"), section.positive("share"))
            "guarantee" -> Objective.Guarantee(section.positive("within_s"), section.positive("share"))
            // An objective that later versions may know.
            else -> null
        }
    }
}
