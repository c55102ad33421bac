package cleathitch.loopback

import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.model.StoreLimits
import cleathitch.storage.TransactionLimits
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import java.util.TreeMap

/** The response of a simulated service. */
class SimulatedReply(val status: Int, val body: ObjectNode)

/**
 * An in-memory implementation of the platform's key-value store, with revisions, compare-and-swap transactions, and leases.
 * When a lease ends, the keys attached to it are deleted. It keeps the limits of the platform to the byte: of a transaction, of a
 * page, and of the rates of requests and changes. Thread-safe.
 */
class SimulatedKeyValueStore(
    private val limits: StoreLimits = StoreLimits(StoreLimits.MAX_TRANSACTION_BYTES, valueBytes = 16_384, operations = 32),
    requestsPerS: Double = 1000.0,
    changesPerS: Double = 1000.0,
) {
    private class Entry(val data: JsonNode, val revision: Long, val lease: Long?)
    private class Lease(val ttlMs: Long, var expiresAtMs: Long)

    private val entries = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private val requestRate = RateLimit(requestsPerS)
    private val changeRate = RateLimit(changesPerS)
    private var revision = 1L
    private var lastLeaseId = 0L

    /** Makes every revocation of a lease fail, so that leases end only by expiry. */
    @Volatile
    var rejectsLeaseRevocations = false

    private val rejections = ArrayList<String>()

    /** The transactions that exceeded a limit, each with the limit. */
    @Synchronized
    fun rejectedTransactions(): List<String> = rejections.toList()

    /** The bytes of all values, in the JSON form. */
    @Synchronized
    fun storedBytes(): Int = entries.values.sumOf { MessageCodec.jsonBytes(it.data) }

    /** The data at [key], or null if the key does not exist. */
    @Synchronized
    fun valueOrNull(key: String): JsonNode? = entries[key]?.data

    /** The response to a request for [path], or null if the key-value store does not serve [path]. */
    @Synchronized
    fun handleOrNull(method: String, path: String, query: Map<String, String>, body: JsonNode?): SimulatedReply? {
        expireLeases()
        if (isServed(path) && !requestRate.take(1, nowMs())) return SimulatedReply(TOO_MANY_REQUESTS, newReplyBody())
        return when {
            path == "/keys" -> list(prefix = query.getValue("under"), afterKey = query["since"], query["most"])
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

    private fun isServed(path: String) = path in setOf("/keys", "/txn", "/holds", "/follow") || path.startsWith("/holds/")

    private fun list(prefix: String, afterKey: String?, most: String?): SimulatedReply {
        val maxEntries = minOf(MAX_PAGE_ENTRIES, most?.toInt() ?: MAX_PAGE_ENTRIES)
        val matching = entries.tailMap(afterKey ?: "").filter { (key, _) -> key.startsWith(prefix) && key != afterKey }
        val reply = newReplyBody().put("truncated", false)
        val list = reply.putArray("entries")
        var bytes = MessageCodec.jsonBytes(reply)
        for ((key, entry) in matching) {
            val node = MessageCodec.newMap().put("k", key).put("retoque", entry.revision)
            node.set<ObjectNode>("data", entry.data)
            bytes += MessageCodec.jsonBytes(node) + 1
            if (list.size() == maxEntries || bytes > MAX_PAGE_BYTES) return SimulatedReply(200, reply.put("truncated", true))
            list.add(node)
        }
        return SimulatedReply(200, reply)
    }

    private fun commit(transaction: JsonNode): SimulatedReply {
        if (!changeRate.take(transaction.path("apply").size(), nowMs())) return SimulatedReply(TOO_MANY_REQUESTS, newReplyBody())
        TransactionLimits.violation(transaction, limits)?.let {
            rejections += it
            return SimulatedReply(400, newReplyBody().put("error", it))
        }
        return applyIfExpected(transaction)
    }

    private fun applyIfExpected(transaction: JsonNode): SimulatedReply {
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

    /** A rate limit that permits bursts of one second's worth. */
    private class RateLimit(private val perS: Double) {
        private var available = perS
        private var updatedMs = 0L

        fun take(count: Int, nowMs: Long): Boolean {
            available = minOf(perS, available + (nowMs - updatedMs) * perS / 1000)
            updatedMs = nowMs
            if (available < count) return false
            available -= count
            return true
        }
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val MAX_PAGE_ENTRIES = 1000
        const val MAX_PAGE_BYTES = 512 * 1024
    }
}
