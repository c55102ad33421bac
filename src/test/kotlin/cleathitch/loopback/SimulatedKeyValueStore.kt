package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import java.util.TreeMap

/** The response of a simulated service. */
class SimulatedReply(val status: Int, val body: ObjectNode)

/**
 * An in-memory implementation of the platform's key-value store, with revisions, compare-and-swap transactions, and leases.
 * When a lease ends, the keys attached to it are deleted. Thread-safe.
 */
class SimulatedKeyValueStore {
    private class Entry(val data: JsonNode, val revision: Long, val lease: Long?)
    private class Lease(val ttlMs: Long, var expiresAtMs: Long)

    private val entries = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private var revision = 1L
    private var lastLeaseId = 0L

    /** Makes every revocation of a lease fail, so that leases end only by expiry. */
    @Volatile
    var rejectsLeaseRevocations = false

    /** The data at [key], or null if the key does not exist. */
    @Synchronized
    fun valueOrNull(key: String): JsonNode? = entries[key]?.data

    /** The response to a request for [path], or null if the key-value store does not serve [path]. */
    @Synchronized
    fun handleOrNull(method: String, path: String, query: Map<String, String>, body: JsonNode?): SimulatedReply? {
        expireLeases()
        return when {
            path == "/keys" -> list(prefix = query.getValue("under"), afterKey = query["since"])
            path == "/txn" -> commit(body!!)
            path == "/holds" -> grantLease(body!!.get("ttlMs").longValue())
            path.startsWith("/holds/") -> {
                val lease = path.split('/')[2].toLong()
                if (method == "DELETE") revokeLease(lease) else renewLease(lease)
            }
            path == "/follow" -> SimulatedReply(200, newReplyBody().also { it.putArray("log") })
            else -> null
        }
    }

    /** A new response body with the current revision, which every response contains. */
    private fun newReplyBody() = MessageCodec.newMap().put("asiento", revision)

    private fun list(prefix: String, afterKey: String?): SimulatedReply {
        val reply = newReplyBody().put("truncated", false)
        val list = reply.putArray("entries")
        entries.tailMap(afterKey ?: "").filter { (key, _) -> key.startsWith(prefix) && key != afterKey }.forEach { (key, entry) ->
            list.addObject().put("k", key).put("retoque", entry.revision).set<ObjectNode>("data", entry.data)
        }
        return SimulatedReply(200, reply)
    }

    private fun commit(transaction: JsonNode): SimulatedReply {
        val failed = transaction.get("guards").filter { (entries[it.get("k").textValue()]?.revision ?: 0) != it.get("retoque").longValue() }
        if (failed.isNotEmpty()) {
            val reply = newReplyBody()
            val keys = reply.putArray("failed")
            failed.forEach { keys.add(it.get("k")) }
            return SimulatedReply(409, reply)
        }
        val changes = transaction.get("apply")
        val hasUnknownLease = changes.any { it.has("arriendo") && it.get("arriendo").longValue() !in leases }
        if (hasUnknownLease) return SimulatedReply(400, newReplyBody().put("error", "no such lease"))
        revision++
        for (change in changes) {
            change.get("delete")?.let { entries.remove(it.textValue()) }
            change.get("put")?.let { entries[it.textValue()] = Entry(change.get("data"), revision, change.get("arriendo")?.longValue()) }
        }
        return SimulatedReply(200, newReplyBody())
    }

    private fun grantLease(ttlMs: Long): SimulatedReply {
        leases[++lastLeaseId] = Lease(ttlMs, nowMs() + ttlMs)
        return SimulatedReply(200, newReplyBody().put("arriendo", lastLeaseId))
    }

    private fun renewLease(id: Long): SimulatedReply {
        val lease = leases[id] ?: return SimulatedReply(404, newReplyBody())
        lease.expiresAtMs = nowMs() + lease.ttlMs
        return SimulatedReply(200, newReplyBody())
    }

    private fun revokeLease(id: Long): SimulatedReply {
        if (rejectsLeaseRevocations) return SimulatedReply(503, newReplyBody())
        val reply = SimulatedReply(if (id in leases) 200 else 404, newReplyBody())
        leases.remove(id)
        deleteEntriesOfEndedLeases()
        return reply
    }

    private fun expireLeases() {
        val now = nowMs()
        if (leases.values.removeIf { it.expiresAtMs <= now }) deleteEntriesOfEndedLeases()
    }

    private fun deleteEntriesOfEndedLeases() {
        if (entries.values.removeIf { it.lease != null && it.lease !in leases }) revision++
    }

    private fun nowMs() = System.nanoTime() / 1_000_000
}
