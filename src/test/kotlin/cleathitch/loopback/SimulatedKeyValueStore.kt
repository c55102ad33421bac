package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import java.util.TreeMap

/** A reply of a simulated service. */
class SimulatedReply(val status: Int, val body: ObjectNode)

/**
 * The key-value store of the platform in memory: revisions, compare-and-swap transactions, and leases whose keys are
 * deleted with them. May be used by any thread.
 */
class SimulatedKeyValueStore {
    private class Entry(val data: JsonNode, val revision: Long, val lease: Long?)
    private class Lease(val ttlMs: Long, var endMs: Long)

    private val entries = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private var revision = 1L
    private var lastLease = 0L

    /** Releases of leases fail, so that a lease ends by its expiry alone. */
    @Volatile
    var rejectsReleases = false

    /** The data at [key]; null if there is no such key. */
    @Synchronized
    fun valueOrNull(key: String): JsonNode? = entries[key]?.data

    /** The reply to a request for [path], or null if [path] isn't one of the store's. */
    @Synchronized
    fun handleOrNull(method: String, path: String, query: Map<String, String>, body: JsonNode?): SimulatedReply? {
        expireLeases()
        return when {
            path == "/keys" -> list(under = query.getValue("under"), after = query["since"])
            path == "/txn" -> commit(body!!)
            path == "/holds" -> grantLease(body!!.get("ttlMs").longValue())
            path.startsWith("/holds/") -> {
                val lease = path.split('/')[2].toLong()
                if (method == "DELETE") releaseLease(lease) else extendLease(lease)
            }
            path == "/follow" -> SimulatedReply(200, header().also { it.putArray("log") })
            else -> null
        }
    }

    /** What every reply holds. */
    private fun header() = MessageCodec.newMap().put("asiento", revision)

    private fun list(under: String, after: String?): SimulatedReply {
        val reply = header().put("truncated", false)
        val list = reply.putArray("entries")
        entries.tailMap(after ?: "").filter { (key, _) -> key.startsWith(under) && key != after }.forEach { (key, entry) ->
            list.addObject().put("k", key).put("retoque", entry.revision).set<ObjectNode>("data", entry.data)
        }
        return SimulatedReply(200, reply)
    }

    private fun commit(transaction: JsonNode): SimulatedReply {
        val failed = transaction.get("guards").filter { (entries[it.get("k").textValue()]?.revision ?: 0) != it.get("retoque").longValue() }
        if (failed.isNotEmpty()) {
            val reply = header()
            val keys = reply.putArray("failed")
            failed.forEach { keys.add(it.get("k")) }
            return SimulatedReply(409, reply)
        }
        val changes = transaction.get("apply")
        val hasUnknownLease = changes.any { it.has("arriendo") && it.get("arriendo").longValue() !in leases }
        if (hasUnknownLease) return SimulatedReply(400, header().put("error", "no such lease"))
        revision++
        for (change in changes) {
            change.get("delete")?.let { entries.remove(it.textValue()) }
            change.get("put")?.let { entries[it.textValue()] = Entry(change.get("data"), revision, change.get("arriendo")?.longValue()) }
        }
        return SimulatedReply(200, header())
    }

    private fun grantLease(ttlMs: Long): SimulatedReply {
        leases[++lastLease] = Lease(ttlMs, nowMs() + ttlMs)
        return SimulatedReply(200, header().put("arriendo", lastLease))
    }

    private fun extendLease(id: Long): SimulatedReply {
        val lease = leases[id] ?: return SimulatedReply(404, header())
        lease.endMs = nowMs() + lease.ttlMs
        return SimulatedReply(200, header())
    }

    private fun releaseLease(id: Long): SimulatedReply {
        if (rejectsReleases) return SimulatedReply(503, header())
        val reply = SimulatedReply(if (id in leases) 200 else 404, header())
        leases.remove(id)
        deleteUnleasedEntries()
        return reply
    }

    private fun expireLeases() {
        val now = nowMs()
        if (leases.values.removeIf { it.endMs <= now }) deleteUnleasedEntries()
    }

    private fun deleteUnleasedEntries() {
        if (entries.values.removeIf { it.lease != null && it.lease !in leases }) revision++
    }

    private fun nowMs() = System.nanoTime() / 1_000_000
}
