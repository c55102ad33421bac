package cleathitch.storage

import cleathitch.http.Address
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
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
class KeyValueStoreClient(
    vertx: Vertx,
    private val address: Address,
    private val timeoutMs: Long,
    name: String = "state",
    meters: MeterRegistry = SimpleMeterRegistry(),
) {
    private val client = PooledHttpClient(vertx, name, maxConnections = 4, meters = meters)

    /** Watches hang for long and must not take connections from the rest. */
    private val watcher = PooledHttpClient(vertx, "$name-watch", maxConnections = 2, meters = meters)

    suspend fun list(prefix: String, after: String?): StoreRead<KeyValueStoreProtocol.Page> {
        val since = if (after == null) "" else "&since=${query(after)}"
        val result = call(HttpMethod.GET, "/keys?under=${query(prefix)}$since&most=1000", null, timeoutMs * 2)
        return read(result) { KeyValueStoreProtocol.page(it) }
    }

    suspend fun transaction(guards: Map<String, Long>, writes: List<KeyValueStoreProtocol.Write>): CompareAndSwapResult =
        when (val result = call(HttpMethod.POST, "/txn", KeyValueStoreProtocol.transaction(guards, writes), timeoutMs)) {
            is CallResult.Failed -> CompareAndSwapResult.Unknown(StoreFailure.NoAnswer(result.failure))
            is CallResult.Answered -> try {
                outcome(result)
            } catch (e: MalformedMessageException) {
                log.error("a garbled answer from the state service: {}", e.message)
                CompareAndSwapResult.Unknown(StoreFailure.Garbled(e.message))
            }
        }

    private fun outcome(answer: CallResult.Answered): CompareAndSwapResult = when (answer.status) {
        200 -> CompareAndSwapResult.Applied(KeyValueStoreProtocol.revision(answer.body))
        409 -> CompareAndSwapResult.Refused(KeyValueStoreProtocol.failedKeys(answer.body))
        400 -> {
            val error = KeyValueStoreProtocol.errorText(answer.body)
            if (error == "no such lease") {
                CompareAndSwapResult.LeaseNotFound
            } else {
                log.error("the state service calls a transaction malformed: {}", error)
                CompareAndSwapResult.Unavailable("malformed: $error")
            }
        }
        else -> CompareAndSwapResult.Unavailable("status ${answer.status}")
    }

    /** A new lease's id. */
    suspend fun hold(ttlMs: Long): StoreRead<Long> =
        read(call(HttpMethod.POST, "/holds", KeyValueStoreProtocol.ttl(ttlMs), timeoutMs)) { KeyValueStoreProtocol.lease(it) }

    suspend fun extend(lease: Long): LeaseRenewal = when (val result = call(HttpMethod.POST, "/holds/$lease/extend", EMPTY, timeoutMs)) {
        is CallResult.Failed -> LeaseRenewal.Unknown(StoreFailure.NoAnswer(result.failure))
        is CallResult.Answered -> when (result.status) {
            200 -> LeaseRenewal.Held
            404 -> LeaseRenewal.Gone
            else -> LeaseRenewal.Unknown(StoreFailure.Status(result.status))
        }
    }

    /** True once the lease is surely over. */
    suspend fun release(lease: Long): Boolean {
        val result = call(HttpMethod.DELETE, "/holds/$lease", null, timeoutMs)
        return result is CallResult.Answered && result.status in setOf(200, 204, 404)
    }

    /** Waits for a change; it fails after an error, or when [since] is too old. */
    suspend fun follow(prefix: String, since: Long, waitMs: Long): StoreRead<KeyValueStoreProtocol.Watched> {
        val path = "/follow?under=${query(prefix)}&since=$since&blockMs=$waitMs"
        return read(watcher.call(address, HttpMethod.GET, path, null, waitMs + timeoutMs)) { KeyValueStoreProtocol.watched(it) }
    }

    private suspend fun call(method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): CallResult =
        client.call(address, method, path, body, timeoutMs)

    private inline fun <T> read(result: CallResult, decode: (ByteArray) -> T): StoreRead<T> = when (result) {
        is CallResult.Failed -> StoreRead.Failed(StoreFailure.NoAnswer(result.failure))
        is CallResult.Answered -> when (result.status) {
            200 -> try {
                StoreRead.Value(decode(result.body))
            } catch (e: MalformedMessageException) {
                log.error("a garbled answer from the state service: {}", e.message)
                StoreRead.Failed(StoreFailure.Garbled(e.message))
            }
            else -> StoreRead.Failed(StoreFailure.Status(result.status))
        }
    }

    private fun query(text: String) = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")
        val EMPTY = byteArrayOf(0x80.toByte()) // an empty map
    }
}
