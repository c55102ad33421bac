package cleathitch.cli

import cleathitch.cloud.CallRateLimiter
import cleathitch.cloud.CloudClient
import cleathitch.config.OperatorSettings
import cleathitch.config.Settings
import cleathitch.controller.Controller
import cleathitch.election.LeaderElection
import cleathitch.http.ConnectionLimit
import cleathitch.http.HttpEndpoint
import cleathitch.http.HttpResponse
import cleathitch.leader.Clocks
import cleathitch.leader.LeaderDependencies
import cleathitch.leader.heartbeatPeriodMs
import cleathitch.metrics.ProcessingTimes
import cleathitch.peers.PeerClient
import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.storage.KeyValueStoreClient
import cleathitch.workers.WorkerClient
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.UUID
import kotlin.math.ceil

/**
 * One controller process: creates the controller with its clients and endpoints from the settings, and owns the event loops
 * and the scopes of all its coroutines. It runs until [close] is called or the process is killed.
 */
class Application(private val settings: Settings, private val operator: OperatorSettings = OperatorSettings.DEFAULT) : AutoCloseable {
    private val vertx = newEventLoop()

    /** A separate event loop for the leader's lease, so that load on the other loop doesn't delay its renewal. */
    private val leaseVertx = newEventLoop()
    private val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob())
    private val leaseScope = CoroutineScope(leaseVertx.dispatcher() + SupervisorJob())
    private val meterRegistry: MeterRegistry = SimpleMeterRegistry()
    private val clocks = Clocks()
    private val deployment = settings.deployment
    private val timings = SchedulerTimings.of(deployment, operator.compactionPeriodS)
    private val sockets = SocketBudget(settings.maxSockets, settings.peers.size)
    private val storeTimeoutMs = timings.leaderLeaseMs / STORE_CALLS_PER_LEASE

    /**
     * Starts the controller. It serves other controllers at once, but users and workers only when a leader is known or
     * [Controller.start] stops waiting for one.
     */
    fun start() {
        val controller = newController()
        scope.launch {
            internalEndpoint(controller).listen(settings.internalAddress)
            controller.start()
            publicEndpoint(controller).listen(settings.bind)
            log.info("event=listening member={} address={} internal_address={}", settings.member, settings.bind, settings.internalAddress)
        }
    }

    /** Cancels all coroutines and closes all connections. */
    override fun close() {
        scope.cancel()
        leaseScope.cancel()
        vertx.close()
        leaseVertx.close()
    }

    private fun newController() = Controller(
        settings,
        newDependencies(),
        store = KeyValueStoreClient(vertx, settings.state, storeTimeoutMs, name = "state", meterRegistry),
        newElection(),
        leaseScope,
        PeerClient(vertx, meterRegistry),
        scope,
    )

    private fun newDependencies(): LeaderDependencies {
        val processingTimes = ProcessingTimes(meterRegistry)
        return LeaderDependencies(
            deployment,
            timings,
            newWorkerClient(),
            newCloudClient(processingTimes),
            clocks,
            meterRegistry,
            processingTimes,
            // Each queued request occupies a connection, to this controller or to a follower.
            maxQueuedRequests = settings.maxSockets,
        )
    }

    private fun newWorkerClient() = WorkerClient(
        vertx,
        commandTimeoutMs = deployment.heartbeatPeriodMs,
        probeTimeoutMs = timings.minProbeIntervalMs,
        maxConcurrentCalls = sockets.maxDirectCalls,
        meterRegistry,
    )

    private fun newCloudClient(processingTimes: ProcessingTimes): CloudClient {
        val rateLimiter = CallRateLimiter(deployment.cloudCallsPerS * (operator.cloudShare ?: DEFAULT_CLOUD_SHARE), clocks::monotonicMs)
        return CloudClient(vertx, settings.cloud, rateLimiter, timeoutMs = deployment.heartbeatPeriodMs * 2, processingTimes, meterRegistry)
    }

    private fun newElection() = LeaderElection(
        KeyValueStoreClient(leaseVertx, settings.state, storeTimeoutMs, name = "lease", meterRegistry),
        settings.member,
        UUID.randomUUID().toString(),
        timings.leaderLeaseMs,
        Controller.LEADER_KEY,
        clocks::monotonicMs,
    )

    private fun internalEndpoint(controller: Controller): HttpEndpoint {
        val router = InternalRouter(controller.peerRequests, meterRegistry)
        return newEndpoint(PeerClient.MAX_BODY_BYTES, sockets.maxInternalConnections, router::handle)
    }

    private fun publicEndpoint(controller: Controller): HttpEndpoint =
        newEndpoint(MessageCodec.MAX_BODY_BYTES, sockets.maxPublicConnections, controller.requests::handle)

    private fun newEndpoint(maxBodyBytes: Int, maxConnections: Int, handle: RequestHandler): HttpEndpoint {
        // Workers send heartbeats, and users poll, at intervals shorter than this timeout.
        val idleTimeoutS = ceil(deployment.heartbeatPeriodS * IDLE_HEARTBEAT_PERIODS).toInt()
        return HttpEndpoint(vertx, scope, maxBodyBytes, idleTimeoutS, ConnectionLimit(maxConnections), handle)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.cli")

        /** The share of the cloud's rate limit that the leader may use; the rest is for other controllers that are starting. */
        const val DEFAULT_CLOUD_SHARE = 0.8

        /** A connection is closed after being idle for this many heartbeat periods. */
        const val IDLE_HEARTBEAT_PERIODS = 3

        /** A call to the key-value store times out after the lease's duration divided by this, so that it can be repeated in time. */
        const val STORE_CALLS_PER_LEASE = 3

        /** Creates an event loop with a single thread, on which code needs no locks. */
        fun newEventLoop(): Vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1))
    }
}

private typealias RequestHandler = suspend (method: String, path: String, body: ByteArray) -> HttpResponse
