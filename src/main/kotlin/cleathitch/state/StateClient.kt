package cleathitch.state

import cleathitch.http.Address
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.protocol.Malformed
import cleathitch.protocol.StateWire
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory
import java.net.URLEncoder

/**
 * The state service's interface; every failure is a value, none an exception. [name] tells a node's clients apart in
 * metrics and in the log.
 */
class StateClient(
    vertx: Vertx,
    private val address: Address,
    private val timeoutMs: Long,
    name: String = "state",
    meters: MeterRegistry = SimpleMeterRegistry(),
) {
    private val client = PooledHttpClient(vertx, name, connections = 4, meters = meters)

    /** Watches hang for long and must not take connections from the rest. */
    private val watcher = PooledHttpClient(vertx, "$name-watch", connections = 2, meters = meters)

    suspend fun list(prefix: String, after: String?): StateRead<StateWire.Page> {
        val since = if (after == null) "" else "&since=${query(after)}"
        val result = call(HttpMethod.GET, "/keys?under=${query(prefix)}$since&most=1000", null, timeoutMs * 2)
        return read(result) { StateWire.page(it) }
    }

    suspend fun transaction(guards: Map<String, Long>, writes: List<StateWire.Write>): Txn =
        when (val result = call(HttpMethod.POST, "/txn", StateWire.transaction(guards, writes), timeoutMs)) {
            is CallResult.Failed -> Txn.Unknown(StateFailure.NoAnswer(result.failure))
            is CallResult.Answered -> try {
                outcome(result)
            } catch (e: Malformed) {
                log.error("a garbled answer from the state service: {}", e.message)
                Txn.Unknown(StateFailure.Garbled(e.message))
            }
        }

    private fun outcome(answer: CallResult.Answered): Txn = when (answer.status) {
        200 -> Txn.Done(StateWire.revision(answer.body))
        409 -> Txn.Refused(StateWire.failedKeys(answer.body))
        400 -> {
            val error = StateWire.errorText(answer.body)
            if (error == "no such lease") {
                Txn.NoLease
            } else {
                log.error("the state service calls a transaction malformed: {}", error)
                Txn.Unavailable("malformed: $error")
            }
        }
        else -> Txn.Unavailable("status ${answer.status}")
    }

    /** A new lease's id. */
    suspend fun hold(ttlMs: Long): StateRead<Long> =
        read(call(HttpMethod.POST, "/holds", StateWire.ttl(ttlMs), timeoutMs)) { StateWire.lease(it) }

    suspend fun extend(lease: Long): Renewal = when (val result = call(HttpMethod.POST, "/holds/$lease/extend", EMPTY, timeoutMs)) {
        is CallResult.Failed -> Renewal.Unknown(StateFailure.NoAnswer(result.failure))
        is CallResult.Answered -> when (result.status) {
            200 -> Renewal.Held
            404 -> Renewal.Gone
            else -> Renewal.Unknown(StateFailure.Status(result.status))
        }
    }

    /** True once the lease is surely over. */
    suspend fun release(lease: Long): Boolean {
        val result = call(HttpMethod.DELETE, "/holds/$lease", null, timeoutMs)
        return result is CallResult.Answered && result.status in setOf(200, 204, 404)
    }

    /** Waits for a change; it fails after an error, or when [since] is too old. */
    suspend fun follow(prefix: String, since: Long, waitMs: Long): StateRead<StateWire.Watched> {
        val path = "/follow?under=${query(prefix)}&since=$since&blockMs=$waitMs"
        return read(watcher.call(address, HttpMethod.GET, path, null, waitMs + timeoutMs)) { StateWire.watched(it) }
    }

    private suspend fun call(method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): CallResult =
        client.call(address, method, path, body, timeoutMs)

    private inline fun <T> read(result: CallResult, decode: (ByteArray) -> T): StateRead<T> = when (result) {
        is CallResult.Failed -> StateRead.Failed(StateFailure.NoAnswer(result.failure))
        is CallResult.Answered -> when (result.status) {
            200 -> try {
                StateRead.Value(decode(result.body))
            } catch (e: Malformed) {
                log.error("a garbled answer from the state service: {}", e.message)
                StateRead.Failed(StateFailure.Garbled(e.message))
            }
            else -> StateRead.Failed(StateFailure.Status(result.status))
        }
    }

    private fun query(text: String) = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")
        val EMPTY = byteArrayOf(0x80.toByte()) // an empty map
    }
}
