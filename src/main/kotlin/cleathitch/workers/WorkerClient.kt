package cleathitch.workers

import cleathitch.http.Address
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult
import cleathitch.protocol.WorkerProtocol
import cleathitch.protocol.decodeResponse
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
 * Sends commands to workers without waiting for their next heartbeat, and probes machines whose heartbeats are overdue.
 * Confined to the event loop of its `vertx`.
 *
 * Connections aren't kept alive, and at most [maxConcurrentCalls] are open at once. In a large fleet, one open connection per
 * machine, in addition to the one on which it sends its heartbeats, would exhaust the sockets of the process, which then couldn't
 * renew its lease. A command that is delayed by this limit is also part of the response to the machine's next heartbeat.
 */
class WorkerClient(
    vertx: Vertx,
    private val commandTimeoutMs: Long,
    private val probeTimeoutMs: Long,
    maxConcurrentCalls: Int,
    meterRegistry: MeterRegistry,
) {
    private val client = PooledHttpClient(vertx, "workers", maxConnections = 2, meterRegistry, keepAlive = false, logsOutages = false)
    private val permits = Semaphore(maxConcurrentCalls)

    /** Sends [command]; the result is the heartbeat that the worker returns whether or not it executed the command. */
    suspend fun send(command: Effect.ToWorker): ServiceResult<Heartbeat> {
        val text = addressOf(command)
        val address = Address.parse(text) ?: return ServiceResult.Failure(ServiceError.InvalidAddress(text))
        val result = when (command) {
            is Effect.SendCommands -> sendCommands(address, command)
            is Effect.Probe -> probe(address)
        }
        if (result is ServiceResult.Failure) logIfMalformed(command.machine, result.error)
        return result
    }

    private fun addressOf(command: Effect.ToWorker) = when (command) {
        is Effect.SendCommands -> command.address
        is Effect.Probe -> command.address
    }

    private suspend fun sendCommands(address: Address, command: Effect.SendCommands): ServiceResult<Heartbeat> {
        val body = WorkerProtocol.directCommands(command.token, command.incarnation, command.commands)
        // A worker that rejects the token or the incarnation also answers with its heartbeat, with status 409.
        return call(address, HttpMethod.POST, "/do", body, commandTimeoutMs)
            .decodeResponse(OK, CONFLICT, decode = WorkerProtocol::heartbeat)
    }

    private suspend fun probe(address: Address): ServiceResult<Heartbeat> =
        call(address, HttpMethod.GET, "/inspect", null, probeTimeoutMs).decodeResponse(OK, decode = WorkerProtocol::heartbeat)

    private suspend fun call(address: Address, method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): CallResult =
        permits.withPermit { client.call(address, method, path, body, timeoutMs) }

    private fun logIfMalformed(machine: MachineId, error: ServiceError) {
        if (error !is ServiceError.MalformedResponse) return
        log.error("event=malformed_answer client=workers machine={} error=\"{}\"", machine, error.message)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.workers")
        const val OK = 200
        const val CONFLICT = 409
    }
}
