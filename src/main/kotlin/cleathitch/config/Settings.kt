package cleathitch.config

import cleathitch.http.Address
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.Team
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Settings that can't be used; the message names file, key and reason. */
class InvalidSettingsException(file: Path, key: String?, reason: String) :
    Exception(
        if (key ==
            null
        ) {
            "$file: $reason"
        } else {
            "$file: $key: $reason"
        },
    )

data class Peer(val member: String, val address: Address)

/** What the platform hands to a node. Fields that aren't known are ignored. */
data class Settings(
    val member: String,
    val domain: String,
    val bind: Address,
    val internalAddr: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val cpu: Double,
    val memoryMb: Double,
    val maxSockets: Int,
    val deployment: Deployment,
) {
    companion object {
        fun read(file: Path): Settings {
            val bytes = try {
                Files.readAllBytes(file)
            } catch (e: IOException) {
                throw InvalidSettingsException(file, null, "can't be read (${e.javaClass.simpleName})")
            }
            val root = try {
                ObjectMapper().readTree(bytes)
            } catch (e: JsonProcessingException) {
                throw InvalidSettingsException(file, null, "isn't JSON: ${e.originalMessage}")
            }
            if (root == null || !root.isObject) throw InvalidSettingsException(file, null, "isn't a JSON object")
            return of(Section(file, "", root))
        }

        private fun of(root: Section): Settings {
            val outside = root.section("outside")
            val cluster = root.section("cluster")
            val resources = cluster.section("resources")
            return Settings(
                member = root.text("member"),
                domain = root.text("domain"),
                bind = root.address("bind"),
                internalAddr = root.address("internal_addr"),
                peers = root.sections("seeds").map { Peer(it.text("member"), it.address("addr")) },
                cloud = outside.address("cloud"),
                state = outside.address("state"),
                cpu = resources.positive("cpu"),
                memoryMb = resources.positive("memory_mb"),
                maxSockets = resources.positive("max_sockets").toInt(),
                deployment = deployment(cluster),
            )
        }

        private fun deployment(cluster: Section): Deployment {
            val workers = cluster.section("workers")
            val state = cluster.section("state")
            val cloud = cluster.section("cloud")
            val deployment = Deployment(
                zones = cluster.texts("zones"),
                teams = cluster.sections("teams").associate { team ->
                    val name = team.text("name")
                    name to Team(
                        name,
                        team.amount("cpus"),
                        team.amount("cpus_max").takeIf { it > 0 },
                        team.amount("gpus"),
                        team.amount("gpus_max").takeIf { it > 0 },
                    )
                },
                objectives = cluster.sections("objectives").mapNotNull(::objective),
                reportS = workers.positive("report_s"),
                leaseS = workers.positive("lease_s"),
                cancelS = workers.positive("cancel_s"),
                stateRps = state.positive("rps"),
                stateWriteRps = state.positive("write_rps"),
                stateValueBytes = (state.positive("value_kb") * 1024).toInt(),
                stateTxnOps = state.positive("txn_ops").toInt(),
                cloudRps = cloud.positive("rps"),
                listLagS = cloud.amount("list_lag_s"),
                nodes = cluster.positive("initial_size").toInt(),
            )
            if (deployment.cancelS <= deployment.leaseS) workers.bad("cancel_s", "must be longer than lease_s")
            if (deployment.stateTxnOps < 8) state.bad("txn_ops", "must be 8 at least")
            return deployment
        }

        private fun objective(section: Section): Objective? = when (section.text("kind")) {
            "finished" -> Objective.Finished(section.text("class"), section.positive("within_s"), section.positive("share"))
            "wait" -> Objective.Wait(section.text("class"), section.positive("within_s"), section.positive("share"))
            "guarantee" -> Objective.Guarantee(section.positive("within_s"), section.positive("share"))
            else -> null // an aim that later versions may know
        }
    }

    private class Section(private val file: Path, private val path: String, private val node: JsonNode) {
        private fun key(name: String) = if (path.isEmpty()) name else "$path.$name"
        fun bad(name: String, reason: String): Nothing = throw InvalidSettingsException(file, key(name), reason)
        private fun need(name: String) = node.get(name)?.takeUnless { it.isNull } ?: bad(name, "is missing")

        fun section(name: String): Section {
            val value = need(name)
            if (!value.isObject) bad(name, "must be an object")
            return Section(file, key(name), value)
        }

        fun sections(name: String): List<Section> {
            val value = need(name)
            if (!value.isArray) bad(name, "must be a list")
            return value.mapIndexed { i, item ->
                if (!item.isObject) bad("$name[$i]", "must be an object")
                Section(file, key("$name[$i]"), item)
            }
        }

        fun texts(name: String): List<String> {
            val value = need(name)
            if (!value.isArray || value.any { !it.isTextual }) bad(name, "must be a list of texts")
            return value.map { it.textValue() }
        }

        fun text(name: String): String {
            val value = need(name)
            if (!value.isTextual || value.textValue().isEmpty()) bad(name, "must be a text")
            return value.textValue()
        }

        fun amount(name: String): Double {
            val value = need(name)
            if (!value.isNumber || !value.doubleValue().isFinite() || value.doubleValue() < 0) bad(name, "must be a number, zero at least")
            return value.doubleValue()
        }

        fun positive(name: String) = amount(name).also { if (it <= 0) bad(name, "must be above zero") }
        fun address(name: String) = Address.parse(text(name)) ?: bad(name, "must be host:port")
    }
}
