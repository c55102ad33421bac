package cleathitch.storage

import cleathitch.http.Address
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult
import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.Transaction
import cleathitch.protocol.decodeBody
import cleathitch.protocol.decodeResponse
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory
import java.net.URLEncoder

/**
 * Client of the consensus-backed key-value store. Failures are returned as results and never thrown.
 *
 * [timeoutMs] is the timeout of one request; [name] distinguishes the clients of a process in metrics and logs. A client must be used
 * on the event loop on which it was created.
 */
class KeyValueStoreClient(
    vertx: Vertx,
    private val address: Address,
    private val timeoutMs: Long,
    private val name: String = "state",
    meterRegistry: MeterRegistry = SimpleMeterRegistry(),
) {
    private val client = PooledHttpClient(vertx, name, maxConnections = REQUEST_CONNECTIONS, meterRegistry = meterRegistry)

    /** Watches are long-lived, so they have their own connections and cannot exhaust those of other requests. */
    private val watchClient = PooledHttpClient(vertx, "$name-watch", maxConnections = WATCH_CONNECTIONS, meterRegistry = meterRegistry)

    /** Reads one page of the entries whose keys start with [prefix], in key order, starting after the key [after] if it is given. */
    suspend fun list(prefix: String, after: String?): ServiceResult<KeyValueStoreProtocol.Page> {
        val since = if (after == null) "" else "&since=${encodeQuery(after)}"
        val path = "/keys?under=${encodeQuery(prefix)}$since&most=$MAX_ENTRIES_PER_PAGE"
        return read(call(HttpMethod.GET, path, null, timeoutMs * LIST_TIMEOUT_FACTOR)) { KeyValueStoreProtocol.page(it) }
    }

    /** Applies all writes of [transaction] atomically if every key that it names has the expected revision, and none otherwise. */
    suspend fun compareAndSwap(transaction: Transaction): CompareAndSwapResult =
        when (val result = call(HttpMethod.POST, "/txn", transaction.body, timeoutMs)) {
            is CallResult.Failed -> CompareAndSwapResult.Unknown(ServiceError.NoResponse(result.failure))
            is CallResult.Answered -> when (val decoded = decodeBody(result.body) { compareAndSwapResult(result) }) {
                is ServiceResult.Success -> decoded.value
                is ServiceResult.Failure -> CompareAndSwapResult.Unknown(decoded.error.also(::logIfMalformed))
            }
        }

    private fun compareAndSwapResult(response: CallResult.Answered): CompareAndSwapResult = when (response.status) {
        HTTP_OK -> CompareAndSwapResult.Applied(KeyValueStoreProtocol.revision(response.body))
        HTTP_CONFLICT -> CompareAndSwapResult.Refused(KeyValueStoreProtocol.failedKeys(response.body))
        HTTP_BAD_REQUEST -> rejected(KeyValueStoreProtocol.errorText(response.body))
        HTTP_CONTENT_TOO_LARGE -> CompareAndSwapResult.Rejected("status $HTTP_CONTENT_TOO_LARGE")
        HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE -> CompareAndSwapResult.Unavailable(response.status)
        else -> CompareAndSwapResult.Unknown(ServiceError.UnexpectedStatus(response.status))
    }

    private fun rejected(error: String?): CompareAndSwapResult = if (error ==
        LEASE_NOT_FOUND_ERROR
    ) {
        CompareAndSwapResult.LeaseNotFound
    } else {
        CompareAndSwapResult.Rejected(error ?: "no reason given")
    }

    /** Requests a new lease with the time to live [ttlMs], and returns its id. */
    suspend fun grantLease(ttlMs: Long): ServiceResult<Long> {
        val result = call(HttpMethod.POST, "/holds", KeyValueStoreProtocol.leaseRequest(ttlMs), timeoutMs)
        return read(result) { KeyValueStoreProtocol.lease(it) }
    }

    /** Renews [lease] for its full time to live. */
    suspend fun renewLease(lease: Long): LeaseRenewal =
        when (val result = call(HttpMethod.POST, "/holds/$lease/extend", EMPTY_MAP, timeoutMs)) {
            is CallResult.Failed -> LeaseRenewal.Unknown(ServiceError.NoResponse(result.failure))
            is CallResult.Answered -> when (result.status) {
                HTTP_OK -> LeaseRenewal.Renewed
                HTTP_NOT_FOUND -> LeaseRenewal.Expired
                else -> LeaseRenewal.Unknown(ServiceError.UnexpectedStatus(result.status))
            }
        }

    /** Revokes [lease]; returns true if the lease is known not to exist any longer. */
    suspend fun revokeLease(lease: Long): Boolean {
        val result = call(HttpMethod.DELETE, "/holds/$lease", null, timeoutMs)
        return result is CallResult.Answered && result.status in REVOKED_STATUSES
    }

    /**
     * Waits up to [waitMs] for a change after revision [since] to a key that starts with [prefix]. Also fails if the key-value store no
     * longer holds the changes since that revision.
     */
    suspend fun watch(prefix: String, since: Long, waitMs: Long): ServiceResult<KeyValueStoreProtocol.WatchResult> {
        val path = "/follow?under=${encodeQuery(prefix)}&since=$since&blockMs=$waitMs"
        val result = watchClient.call(address, HttpMethod.GET, path, null, waitMs + timeoutMs)
        return read(result) { KeyValueStoreProtocol.watchResult(it) }
    }

    private suspend fun call(method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): CallResult =
        client.call(address, method, path, body, timeoutMs)

    private inline fun <T> read(result: CallResult, decode: (ByteArray) -> T): ServiceResult<T> =
        result.decodeResponse(HTTP_OK, decode = decode).also { if (it is ServiceResult.Failure) logIfMalformed(it.error) }

    private fun logIfMalformed(error: ServiceError) {
        if (error is ServiceError.MalformedResponse) log.error("event=malformed_answer client={} error=\"{}\"", name, error.message)
    }

    private fun encodeQuery(text: String) = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")

        const val REQUEST_CONNECTIONS = 4
        const val WATCH_CONNECTIONS = 2
        const val MAX_ENTRIES_PER_PAGE = 1000

        /** Multiplies the timeout for a page of entries, which is far larger than any other response. */
        const val LIST_TIMEOUT_FACTOR = 2

        const val HTTP_OK = 200
        const val HTTP_NO_CONTENT = 204
        const val HTTP_BAD_REQUEST = 400
        const val HTTP_NOT_FOUND = 404
        const val HTTP_CONFLICT = 409
        const val HTTP_CONTENT_TOO_LARGE = 413
        const val HTTP_TOO_MANY_REQUESTS = 429
        const val HTTP_UNAVAILABLE = 503
        val REVOKED_STATUSES = setOf(HTTP_OK, HTTP_NO_CONTENT, HTTP_NOT_FOUND)

        /** The key-value store's error text for a write that refers to a lease that does not exist. */
        const val LEASE_NOT_FOUND_ERROR = "no such lease"

        /** An empty MessagePack map. */
        val EMPTY_MAP = byteArrayOf(0x80.toByte())
    }
}
