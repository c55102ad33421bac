package cleathitch.state

import cleathitch.http.Address
import cleathitch.http.Answer
import cleathitch.http.Caller
import cleathitch.protocol.Malformed
import cleathitch.protocol.StateWire
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory
import java.net.URLEncoder

sealed interface Txn {
    data class Done(val revision: Long) : Txn
    data class Refused(val failed: List<String>) : Txn
    data object NoLease : Txn

    /** Surely not carried out. */
    data object Unavailable : Txn

    /** Carried out, or not, or it will be later. */
    data object Unknown : Txn
}

sealed interface Renewal {
    data object Held : Renewal
    data object Gone : Renewal
    data object Unknown : Renewal
}

/** The state service's interface; every failure is a value, none an exception. */
class StateClient(vertx: Vertx, private val address: Address, private val timeoutMs: Long) {
    private val caller = Caller(vertx, connections = 4)

    /** Watches hang for long and must not take connections from the rest. */
    private val watcher = Caller(vertx, connections = 2)

    suspend fun list(prefix: String, after: String?): StateWire.Page? {
        val since = if (after == null) "" else "&since=${query(after)}"
        val answer = call(HttpMethod.GET, "/keys?under=${query(prefix)}$since&most=1000", null, timeoutMs * 2)
        return read(answer?.takeIf { it.status == 200 }) { StateWire.page(it.body) }
    }

    suspend fun transaction(guards: Map<String, Long>, writes: List<StateWire.Write>): Txn {
        val answer = call(HttpMethod.POST, "/txn", StateWire.transaction(guards, writes), timeoutMs) ?: return Txn.Unknown
        return read(answer) {
            when (answer.status) {
                200 -> Txn.Done(StateWire.revision(answer.body))
                409 -> Txn.Refused(StateWire.failedKeys(answer.body))
                400 -> if (StateWire.errorText(answer.body) == "no such lease") {
                    Txn.NoLease
                } else {
                    Txn.Unavailable.also {
                        log.error("the state service calls a transaction malformed: {}", StateWire.errorText(answer.body))
                    }
                }
                else -> Txn.Unavailable
            }
        } ?: Txn.Unknown
    }

    suspend fun hold(ttlMs: Long): Long? {
        val answer = call(HttpMethod.POST, "/holds", StateWire.ttl(ttlMs), timeoutMs)
        return read(answer?.takeIf { it.status == 200 }) { StateWire.lease(it.body) }
    }

    suspend fun extend(lease: Long): Renewal = when (call(HttpMethod.POST, "/holds/$lease/extend", EMPTY, timeoutMs)?.status) {
        200 -> Renewal.Held
        404 -> Renewal.Gone
        else -> Renewal.Unknown
    }

    /** True once the lease is surely over. */
    suspend fun release(lease: Long): Boolean = call(HttpMethod.DELETE, "/holds/$lease", null, timeoutMs)?.status in setOf(200, 204, 404)

    /** Waits for a change; null if nothing can be said, as after an error or when [since] is too old. */
    suspend fun follow(prefix: String, since: Long, waitMs: Long): StateWire.Watched? {
        val path = "/follow?under=${query(prefix)}&since=$since&blockMs=$waitMs"
        val answer = watcher.call(address, HttpMethod.GET, path, null, waitMs + timeoutMs)
        return read(answer?.takeIf { it.status == 200 }) { StateWire.watched(it.body) }
    }

    private suspend fun call(method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): Answer? =
        caller.call(address, method, path, body, timeoutMs)

    private inline fun <A : Any, T> read(answer: A?, decode: (A) -> T): T? = try {
        answer?.let(decode)
    } catch (e: Malformed) {
        log.error("a garbled answer from the state service: {}", e.message)
        null
    }

    private fun query(text: String) = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")
        val EMPTY = byteArrayOf(0x80.toByte()) // an empty map
    }
}
