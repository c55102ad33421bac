package cleathitch.cli

import cleathitch.cloud.CallRateLimiter
import cleathitch.cloud.CloudClient
import cleathitch.config.OperatorSettings
import cleathitch.config.Settings
import cleathitch.controller.Controller
import cleathitch.election.LeaderElection
import cleathitch.http.ConnectionLimit
import cleathitch.http.HttpEndpoint
import cleathitch.http.HttpReply
import cleathitch.leader.Clocks
import cleathitch.leader.LeaderDependencies
import cleathitch.metrics.MetricsText
import cleathitch.metrics.ProcessingTimes
import cleathitch.metrics.logValue
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerCodec
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
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import java.util.UUID
import kotlin.math.ceil

/** Puts a node together and runs it until the process is killed. */
class Application(private val settings: Settings, private val operator: OperatorSettings = OperatorSettings.DEFAULT) {
    private val vertx = loop()

    /** Keeps the leader's lease, whatever there is to do on the other loop. */
    private val leaseLoop = loop()
    private val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob())
    private val meters: MeterRegistry = SimpleMeterRegistry()

    fun start() {
        val clocks = Clocks()
        val deployment = settings.deployment
        val reportMs = (deployment.reportS * 1000).toLong()
        // Workers report and users poll well within that.
        val idleS = ceil(deployment.reportS * IDLE_REPORTS).toInt()
        val timings = SchedulerTimings.of(deployment, operator.trimS)
        val direct = maxOf(1, settings.maxSockets / DIRECT_PART)
        val processingTimes = ProcessingTimes(meters)
        val services = LeaderDependencies(
            deployment,
            timings,
            WorkerClient(vertx, commandTimeoutMs = reportMs, probeTimeoutMs = timings.probeGapMs, maxConcurrentCalls = direct, meters),
            CloudClient(
                vertx,
                settings.cloud,
                CallRateLimiter(deployment.cloudRps * (operator.cloudShare ?: CLOUD_SHARE), clocks::steadyMs),
                timeoutMs = reportMs * 2,
                processingTimes,
                meters,
            ),
            clocks,
            meters,
            processingTimes,
            // Each waiting request holds a connection, here or at a follower.
            maxQueuedRequests = settings.maxSockets,
        )
        val stateMs = timings.leaderLeaseMs / 3
        val leadership = LeaderElection(
            KeyValueStoreClient(leaseLoop, settings.state, stateMs, name = "lease", meters),
            settings.member,
            UUID.randomUUID().toString(),
            timings.leaderLeaseMs,
            Controller.LEADER_KEY,
            clocks::steadyMs,
        )
        val leaseScope = CoroutineScope(leaseLoop.dispatcher() + SupervisorJob())
        val state = KeyValueStoreClient(vertx, settings.state, stateMs, name = "state", meters)
        val node = Controller(settings, services, state, leadership, leaseScope, PeerClient(vertx, meters), scope)
        val peerSockets = settings.peers.size * PeerClient.CONNECTIONS
        val ours = direct + peerSockets + OTHER_SOCKETS
        val internalRoom = ConnectionLimit(peerSockets + OTHER_SOCKETS)
        val room = ConnectionLimit(maxOf(settings.maxSockets / 2, settings.maxSockets - ours - internalRoom.max))
        scope.launch {
            HttpEndpoint(vertx, scope, PeerClient.MAX_BODY, idleS, internalRoom) { method, path, body ->
                internal(node, method, path, body)
            }.listen(settings.internalAddr)
            node.start()
            HttpEndpoint(vertx, scope, MessageCodec.MAX_BODY, idleS, room, node.requests::handle).listen(settings.bind)
            log.info("event=listening member={} address={} internal_address={}", settings.member, settings.bind, settings.internalAddr)
        }
    }

    private fun loop() = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1))

    private suspend fun internal(node: Controller, method: String, path: String, body: ByteArray): HttpReply = when {
        path == PeerClient.PATH && method == "POST" -> try {
            HttpReply(200, PeerCodec.encode(node.peerRequests.handle(PeerCodec.decodeRequest(body))))
        } catch (e: SerializationException) {
            log.error("event=malformed_peer_request error={}", logValue(e.message.orEmpty()))
            HttpReply(400)
        }
        path == "/metrics" && method == "GET" -> HttpReply(200, MetricsText.text(meters).toByteArray())
        else -> HttpReply(404)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.cli")

        /** What the leader may take of the cloud's calls; the rest is for the others' start. */
        const val CLOUD_SHARE = 0.8

        const val IDLE_REPORTS = 3

        /** Direct orders and questions may hold one socket in so many; the rest is for who comes to us. */
        const val DIRECT_PART = 10

        /** State service (work, lease and their watches) and cloud hold some 16; twice that is left for them, listeners and metrics. */
        const val OTHER_SOCKETS = 32
    }
}
