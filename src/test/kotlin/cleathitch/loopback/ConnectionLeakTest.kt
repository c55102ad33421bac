package cleathitch.loopback

import cleathitch.cloud.CallRateLimiter
import cleathitch.cloud.CloudClient
import cleathitch.http.StubServer
import cleathitch.metrics.MetricsText
import cleathitch.metrics.ProcessingTimes
import cleathitch.peers.PeerClient
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.MachineId
import cleathitch.storage.KeyValueStoreClient
import cleathitch.workers.WorkerClient
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Guards against connection leaks in each of a controller's HTTP clients. Thousands of calls time out or are cancelled while
 * they wait for a connection, for the response head or for the response body. Afterwards no connection may be in use, and new
 * calls must get a response.
 */
class ConnectionLeakTest {
    private val random = Random(SEED)
    private val serverRandom = Random(SEED + 1)

    @Volatile
    private var isFaulty = true
    private val server = StubServer { if (isFaulty) StubServer.BEHAVIORS.random(serverRandom) else StubServer.IMMEDIATE }
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob())
    private val meterRegistry = SimpleMeterRegistry()

    private val state = KeyValueStoreClient(vertx, server.address, TIMEOUT_MS, meterRegistry = meterRegistry)
    private val peers = PeerClient(vertx, meterRegistry)
    private val workers = WorkerClient(vertx, TIMEOUT_MS, TIMEOUT_MS, maxConcurrentCalls = CONCURRENT_CALLS / 2, meterRegistry)
    private val cloud =
        CloudClient(
            vertx,
            server.address,
            CallRateLimiter(CLOUD_CALLS_PER_S, ::monotonicMs),
            TIMEOUT_MS,
            ProcessingTimes(meterRegistry),
            meterRegistry,
        )

    /** One call of each client, keyed by the client's name in the metrics. */
    private val calls: Map<String, suspend () -> Any?> = mapOf(
        "state" to { state.renewLease(lease = 1) },
        "state-watch" to { state.watch("x", since = 1, waitMs = 0) },
        "peers" to { peers.request(server.address, byteArrayOf(1), TIMEOUT_MS) },
        "workers" to { workers.send(Effect.Probe(MachineId("vm-000001"), server.address.toString())) },
        "cloud" to { cloud.machineTypes() },
    )

    @AfterEach
    fun close() {
        vertx.close()
        server.close()
    }

    @TestFactory
    fun `calls that time out or are cancelled release their connections`() = calls.map { (client, call) ->
        DynamicTest.dynamicTest(client) { runBlocking { abandonCallsThenExpectResponse(client, call) } }
    }

    private suspend fun abandonCallsThenExpectResponse(client: String, call: suspend () -> Any?) {
        isFaulty = true
        repeat(CALLS / CONCURRENT_CALLS) {
            val burst = List(CONCURRENT_CALLS) { scope.launch { call() } }
            burst.filter { random.nextInt(3) == 0 }.forEach { cancelLater(it) }
            delay(random.nextLong(TIMEOUT_MS))
            server.release()
            burst.joinAll()
        }
        isFaulty = false
        server.release()
        await("$client: no connection in use or awaited") { isIdle(client) }
        val responsesBefore = responseCount(client)
        // On a loaded machine a response can take longer than the call's timeout, so the call is repeated.
        await("$client: a call gets a response") {
            scope.launch { call() }
            responseCount(client) > responsesBefore
        }
        await("$client: no connection in use or awaited after a call with a response") { isIdle(client) }
    }

    private fun cancelLater(call: Job) {
        val afterMs = random.nextLong(TIMEOUT_MS)
        scope.launch {
            delay(afterMs)
            call.cancel()
        }
    }

    private fun isIdle(client: String) = gauge(client, "in_use") == 0 && gauge(client, "waiting") == 0

    private fun gauge(client: String, name: String) = meterRegistry.get("http.client.$name").tag("client", client).gauge().value().toInt()

    /** The number of calls that got a response. The stub server responds with status 503, which counts as the outcome `refused`. */
    private fun responseCount(client: String) =
        meterRegistry.find("http.client.calls").tag("client", client).tag("outcome", "refused").counter()
            ?.count()?.toInt() ?: 0

    private suspend fun await(what: String, condition: () -> Boolean) {
        val endMs = monotonicMs() + AWAIT_TIMEOUT_MS
        while (!condition()) {
            if (monotonicMs() > endMs) {
                throw AssertionError("timed out after $AWAIT_TIMEOUT_MS ms waiting for: $what\n${MetricsText.text(meterRegistry)}")
            }
            delay(POLL_MS)
        }
    }

    private companion object {
        const val SEED = 23L
        const val CALLS = 2400
        const val CONCURRENT_CALLS = 24
        const val TIMEOUT_MS = 20L
        const val CLOUD_CALLS_PER_S = 100_000.0
        const val AWAIT_TIMEOUT_MS = 10_000L
        const val POLL_MS = 10L

        fun monotonicMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
    }
}
