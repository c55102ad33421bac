package cleathitch.cli

import cleathitch.config.Settings
import cleathitch.http.Address
import cleathitch.http.ConnectionLimit
import cleathitch.http.HttpEndpoint
import cleathitch.http.PooledHttpClient
import cleathitch.peers.OutgoingBatch
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerRequest
import cleathitch.peers.reply
import cleathitch.protocol.MessageCodec
import cleathitch.protocol.TrainingMessages
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.workers.HeartbeatQueue
import com.fasterxml.jackson.databind.node.ObjectNode
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import picocli.CommandLine.Command
import java.net.ServerSocket
import java.nio.file.Files
import kotlin.system.exitProcess

/**
 * Runs a controller as leader on loopback for a short time, with a platform that accepts every request, and exits. The build
 * runs it so that the JVM can archive the loaded classes (class data sharing): without the archive, a controller with a third of
 * a core spends seconds after each restart on loading them. Everything that it starts ends with the process.
 */
@Command(name = "train-class-archive", hidden = true, description = ["Loads the classes of a controller for the build's class archive."])
class ClassArchiveTraining : Runnable {
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob())
    private val meterRegistry = SimpleMeterRegistry()
    private val client = PooledHttpClient(vertx, "class-archive-training", maxConnections = 4, meterRegistry)
    private val peers = PeerClient(vertx, meterRegistry)
    private var leaderTerm = 0L

    override fun run() {
        scope.launch {
            val (publicPort, internalPort) = freePorts()
            val application = startController(publicPort, internalPort, startPlatform())
            val publicAddress = Address(LOOPBACK, publicPort)
            val internalAddress = Address(LOOPBACK, internalPort)
            repeat(ROUNDS) { round ->
                sendUserRequests(publicAddress, round)
                sendHeartbeat(publicAddress, round)
                sendFollowerBatch(internalAddress, sequenceNumber = round.toLong())
                delay(ROUND_INTERVAL_MS)
            }
            call(internalAddress, HttpMethod.GET, "/metrics")
            application.close()
            exitProcess(0)
        }
    }

    /** Starts a platform on loopback and returns its port. */
    private suspend fun startPlatform(): Int {
        val platform = TrainingPlatform()
        val endpoint = HttpEndpoint(vertx, scope, MessageCodec.MAX_BODY_BYTES, PLATFORM_IDLE_S, ConnectionLimit(PLATFORM_CONNECTIONS)) {
                method,
                path,
                _,
            ->
            platform.respond(method, path)
        }
        return endpoint.listen(Address(LOOPBACK, 0))
    }

    private fun freePorts(): List<Int> = List(2) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }

    private fun startController(publicPort: Int, internalPort: Int, platformPort: Int): Application {
        val file = Files.createTempFile("cleathitch", ".json")
        try {
            Files.writeString(file, settings(publicPort, internalPort, platformPort))
            return Application(Settings.read(file)).also { it.start() }
        } finally {
            Files.delete(file)
        }
    }

    private suspend fun sendUserRequests(controller: Address, round: Int) {
        call(controller, HttpMethod.GET, "/ready")
        call(controller, HttpMethod.POST, "/submissions", TrainingMessages.submission(round))
        call(controller, HttpMethod.GET, "/submissions/${TrainingMessages.jobId(round)}")
        call(controller, HttpMethod.POST, "/submissions/${TrainingMessages.jobId(round / 2)}/abort")
    }

    private suspend fun sendHeartbeat(controller: Address, round: Int) =
        call(controller, HttpMethod.POST, "/agent/beat", TrainingMessages.heartbeat(round, ROUNDS))

    private suspend fun call(controller: Address, method: HttpMethod, path: String, message: ObjectNode? = null) {
        client.call(controller, method, path, message?.let(MessageCodec::encode), TIMEOUT_MS)
    }

    /** Sends a follower's batch of requests. The reply to the first batch contains the leader's term, which later batches must contain. */
    private suspend fun sendFollowerBatch(controller: Address, sequenceNumber: Long) {
        val heartbeat =
            Heartbeat(MachineId("vm-000002"), "127.0.0.1:1", "m", "z", true, 1, sequenceNumber, FencingToken.NONE, null, emptyList())
        val queue = HeartbeatQueue(answerTimeoutMs = TIMEOUT_MS)
        queue.add(heartbeat, nowMs = 0) {}
        val batch = queue.nextBatch(leaderTerm, nowMs = 0)
        val outgoing = OutgoingBatch(batch, listOf(JobId("j-000001")), emptyList())
        val reply = peers.request(controller, PeerRequest.FollowerBatch.of("n1", outgoing), TIMEOUT_MS).reply ?: return
        leaderTerm = reply.term
        queue.completeWithDecisions(batch, reply.decisions.orEmpty().map { it.toDecision() }, reply.term, nowMs = 0)
    }

    private fun settings(publicPort: Int, internalPort: Int, platformPort: Int) = """
        {"member":"n0","domain":"z","bind":"127.0.0.1:$publicPort","internal_addr":"127.0.0.1:$internalPort",
         "seeds":[{"member":"n1","domain":"z","addr":"127.0.0.1:$internalPort"}],
         "outside":{"cloud":"127.0.0.1:$platformPort","state":"127.0.0.1:$platformPort"},
         "cluster":{"initial_size":2,"zones":["z"],"objectives":[],
          "teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
          "workers":{"report_s":0.4,"lease_s":4,"cancel_s":8},
          "state":{"rps":1000,"write_rps":1000,"value_kb":16,"txn_ops":32},
          "cloud":{"rps":100,"list_lag_s":0.2},
          "resources":{"cpu":1,"memory_mb":300,"max_sockets":100},"skew_ms":100}}
    """

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val ROUNDS = 16
        const val ROUND_INTERVAL_MS = 100L
        const val TIMEOUT_MS = 1000L
        const val PLATFORM_IDLE_S = 60
        const val PLATFORM_CONNECTIONS = 100
    }
}
