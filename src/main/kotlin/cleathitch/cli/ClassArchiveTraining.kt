package cleathitch.cli

import cleathitch.config.Settings
import cleathitch.http.Address
import cleathitch.http.ConnectionLimit
import cleathitch.http.HttpEndpoint
import cleathitch.http.HttpReply
import cleathitch.http.PooledHttpClient
import cleathitch.peers.OutgoingBatch
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerRequest
import cleathitch.peers.reply
import cleathitch.protocol.MessageCodec
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
 * Leads for a moment on loopback, with a platform that says yes to everything, and ends. The build runs
 * it so that the JVM can archive the classes that a controller needs: on a third of a core, loading
 * them anew takes a controller seconds after each restart.
 */
@Command(name = "train-class-archive", hidden = true, description = ["Loads what a controller needs, for the build's class archive."])
class ClassArchiveTraining : Runnable {
    private val vertx = Vertx.vertx()
    private val meters = SimpleMeterRegistry()
    private val client = PooledHttpClient(vertx, "class-archive-training", maxConnections = 4, meters)
    private var revision = 1L
    private var leaderTerm = 0L

    override fun run() {
        val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob())
        scope.launch {
            val platform = HttpEndpoint(vertx, scope, MessageCodec.MAX_BODY, idleS = 60, ConnectionLimit(max = 100)) { method, path, _ ->
                platform(method, path)
            }
                .listen(Address("127.0.0.1", 0))
            val (bind, internal) = List(2) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
            val file = Files.createTempFile("cleathitch", ".json")
            Files.writeString(file, settings(bind, internal, platform))
            Application(Settings.read(file)).start()
            Files.delete(file)
            val node = Address("127.0.0.1", bind)
            val peers = PeerClient(vertx, meters)
            repeat(ROUNDS) { round ->
                client.call(node, HttpMethod.GET, "/ready", null, 1000)
                client.call(node, HttpMethod.POST, "/submissions", MessageCodec.encode(submission(round)), 1000)
                client.call(node, HttpMethod.GET, "/submissions/j-%06d".format(round), null, 1000)
                client.call(node, HttpMethod.POST, "/submissions/j-%06d/abort".format(round / 2), null, 1000)
                client.call(node, HttpMethod.POST, "/agent/beat", MessageCodec.encode(beat(round)), 1000)
                actAsFollower(peers, Address("127.0.0.1", internal), round.toLong())
                delay(PAUSE_MS)
            }
            client.call(Address("127.0.0.1", internal), HttpMethod.GET, "/metrics", null, 1000)
            exitProcess(0)
        }
    }

    /** Sends what followers send: the first request learns the term, and so the next one is decided. */
    private suspend fun actAsFollower(peers: PeerClient, node: Address, seq: Long) {
        val report = Heartbeat(MachineId("vm-000002"), "127.0.0.1:1", "m", "z", true, 1, seq, FencingToken.NONE, null, emptyList())
        val queue = HeartbeatQueue(answerTimeoutMs = 1000)
        queue.add(report, nowMs = 0) {}
        val batch = queue.nextBatch(leaderTerm, nowMs = 0)
        val outgoing = OutgoingBatch(batch, listOf(JobId("j-000001")), emptyList())
        val reply = peers.ask(node, PeerRequest.FollowerBatch.of("n1", outgoing), timeoutMs = 1000).reply ?: return
        leaderTerm = reply.term
        queue.completeDecided(batch, reply.decisions.orEmpty().map { it.toDecision() }, reply.term, nowMs = 0)
    }

    private fun platform(method: String, path: String): HttpReply {
        val map = MessageCodec.newMap().put("asiento", ++revision).put("arriendo", 1).put("truncated", false)
        map.putArray("log")
        map.putArray("entries")
        map.putArray("burros").let { if (method == "POST" && path == "/hosts") it.add("vm-000001") }
        map.putArray("hornadas").addObject().put("label", "m").put("vcpus", 4).put("gpus", 0).put("memoryGb", 16)
            .put("localGb", 10).put("fetchGbPerS", 1).put("rate", 1).put("spotPrice", 0.5).put("bootS", 10)
            .putArray("comarcas").add("z")
        return HttpReply(200, MessageCodec.encode(map))
    }

    private fun submission(round: Int): ObjectNode = MessageCodec.newMap().put("nameId", "j-%06d".format(round)).put("cuadrilla", "c")
        .put("ownerCrew", "t").put("oficio", "array").put("urgencia", "normal").put("tareas", 2).put("vcpus", 1.0)
        .put("gpus", 0.0).put("memoryGb", 1.0).put("imagen", "i").put("pullGb", 1.0).put("oneZone", false)
        .put("scatter", false).put("prestados", true).put("aproxS", 1.0).put("hitoS", 0.0).put("guardadoS", 0.0)

    private fun beat(round: Int): ObjectNode {
        val map = MessageCodec.newMap().put("burro", "vm-000001").put("addr", "127.0.0.1:1").put("hornada", "m").put("comarca", "z")
            .put("prestados", true).put("jornada", 1).put("folio", round).put("vara", 0)
        val tasks = map.putArray("tareas")
        for (index in 0 until minOf(round, 2)) {
            val task = tasks.addObject().put("tarea", "j-000000/$index").put("intento", index + 1)
            if (round < ROUNDS / 2) task.put("estado", "running") else task.put("estado", "exited").put("motivo", "done")
        }
        return map
    }

    private fun settings(bind: Int, internal: Int, platform: Int) = """
        {"member":"n0","domain":"z","bind":"127.0.0.1:$bind","internal_addr":"127.0.0.1:$internal",
         "seeds":[{"member":"n1","domain":"z","addr":"127.0.0.1:$internal"}],
         "outside":{"cloud":"127.0.0.1:$platform","state":"127.0.0.1:$platform"},
         "cluster":{"initial_size":2,"zones":["z"],"objectives":[],
          "teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
          "workers":{"report_s":0.4,"lease_s":4,"cancel_s":8},
          "state":{"rps":1000,"write_rps":1000,"value_kb":16,"txn_ops":32},
          "cloud":{"rps":100,"list_lag_s":0.2},
          "resources":{"cpu":1,"memory_mb":300,"max_sockets":100},"skew_ms":100}}
    """

    private companion object {
        const val ROUNDS = 16
        const val PAUSE_MS = 100L
    }
}
