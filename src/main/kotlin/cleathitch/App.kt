package cleathitch

import cleathitch.cloud.CallBudget
import cleathitch.cloud.CloudClient
import cleathitch.config.OperatorSettings
import cleathitch.config.Settings
import cleathitch.core.Tuning
import cleathitch.http.ConnectionLimit
import cleathitch.http.HttpEndpoint
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerCodec
import cleathitch.protocol.HttpReply
import cleathitch.protocol.Wire
import cleathitch.state.Leadership
import cleathitch.state.StateClient
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
class App(private val settings: Settings, private val operator: OperatorSettings = OperatorSettings.DEFAULT) {
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
        val tuning = Tuning.of(deployment, operator.trimS)
        val direct = maxOf(1, settings.maxSockets / DIRECT_PART)
        val workTimes = WorkTimes(meters)
        val services = Services(
            deployment,
            tuning,
            WorkerClient(vertx, timeoutMs = reportMs, probeMs = tuning.probeGapMs, atOnce = direct, meters),
            CloudClient(
                vertx,
                settings.cloud,
                CallBudget(deployment.cloudRps * (operator.cloudShare ?: CLOUD_SHARE), clocks::steadyMs),
                timeoutMs = reportMs * 2,
                workTimes,
                meters,
            ),
            clocks,
            meters,
            workTimes,
            // Each waiting request holds a connection, here or at a follower.
            mostRequests = settings.maxSockets,
        )
        val stateMs = tuning.leaderLeaseMs / 3
        val leadership = Leadership(
            StateClient(leaseLoop, settings.state, stateMs, name = "lease", meters),
            settings.member,
            UUID.randomUUID().toString(),
            tuning.leaderLeaseMs,
            Node.LEADER_KEY,
            clocks::steadyMs,
        )
        val leaseScope = CoroutineScope(leaseLoop.dispatcher() + SupervisorJob())
        val state = StateClient(vertx, settings.state, stateMs, name = "state", meters)
        val node = Node(settings, services, state, leadership, leaseScope, PeerClient(vertx, meters), scope)
        val peerSockets = settings.peers.size * PeerClient.CONNECTIONS
        val ours = direct + peerSockets + OTHER_SOCKETS
        val internalRoom = ConnectionLimit(peerSockets + OTHER_SOCKETS)
        val room = ConnectionLimit(maxOf(settings.maxSockets / 2, settings.maxSockets - ours - internalRoom.most))
        scope.launch {
            HttpEndpoint(vertx, scope, PeerClient.MOST_BODY, idleS, internalRoom) { method, path, body ->
                internal(node, method, path, body)
            }.listen(settings.internalAddr)
            node.start()
            HttpEndpoint(vertx, scope, Wire.MAX_BODY, idleS, room, node::front).listen(settings.bind)
            log.info("node {} listens on {} and {}", settings.member, settings.bind, settings.internalAddr)
        }
    }

    private fun loop() = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1))

    private suspend fun internal(node: Node, method: String, path: String, body: ByteArray): HttpReply = when {
        path == PeerClient.PATH && method == "POST" -> try {
            HttpReply(200, PeerCodec.encode(node.peer(PeerCodec.decodeRequest(body))))
        } catch (e: SerializationException) {
            log.error("a garbled request from a peer: {}", e.message)
            HttpReply(400)
        }
        path == "/metrics" && method == "GET" -> HttpReply(200, Metrics.text(meters).toByteArray())
        else -> HttpReply(404)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.app")

        /** What the leader may take of the cloud's calls; the rest is for the others' start. */
        const val CLOUD_SHARE = 0.8

        const val IDLE_REPORTS = 3

        /** Direct orders and questions may hold one socket in so many; the rest is for who comes to us. */
        const val DIRECT_PART = 10

        /** State service (work, lease and their watches) and cloud hold some 16; twice that is left for them, listeners and metrics. */
        const val OTHER_SOCKETS = 32
    }
}
