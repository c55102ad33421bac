package cleathitch.workers

import cleathitch.http.Address
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.http.answerWith
import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.WorkerProtocol
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.slf4j.LoggerFactory

/**
 * Sends orders directly where waiting for the next report would cost, and asks machines that skip reports.
 * Its connections aren't kept, and only [atOnce] are open: with one to each machine of a large fleet
 * beside the one each machine reports on, a node once ran out of sockets after a take-over, and so
 * of ways to renew its lease. An order that waits too long is in the machine's next answer anyway.
 */
class WorkerClient(vertx: Vertx, private val timeoutMs: Long, private val probeMs: Long, atOnce: Int, meters: MeterRegistry) {
    private val client = PooledHttpClient(vertx, "workers", maxConnections = 2, meters, keepAlive = false, logsOutages = false)
    private val turns = Semaphore(atOnce)

    /** The machine's report in answer to the command; null if none came. */
    suspend fun send(command: Effect.ToWorker): Heartbeat? = when (command) {
        is Effect.SendCommands -> push(command)
        is Effect.Probe -> inspect(command)
    }

    /** The machine's report after the orders, whether it carried them out or not; null if none came. */
    private suspend fun push(push: Effect.SendCommands): Heartbeat? {
        val address = Address.parse(push.address) ?: return null
        val body = WorkerProtocol.directCommands(push.token, push.incarnation, push.commands)
        val result = turns.withPermit { client.call(address, HttpMethod.POST, "/do", body, timeoutMs) }
        val answer = result.answerWith(200) ?: result.answerWith(409)
        return answer?.let { report(push.machine, it) }
    }

    private suspend fun inspect(inspect: Effect.Probe): Heartbeat? {
        val address = Address.parse(inspect.address) ?: return null
        val result = turns.withPermit { client.call(address, HttpMethod.GET, "/inspect", null, probeMs) }
        return result.answerWith(200)?.let { report(inspect.machine, it) }
    }

    private fun report(machine: MachineId, answer: CallResult.Answered): Heartbeat? = try {
        WorkerProtocol.heartbeat(answer.body)
    } catch (e: MalformedMessageException) {
        log.error("a garbled report from machine {}: {}", machine, e.message)
        null
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.workers")
    }
}
