package cleathitch.cloud

import cleathitch.http.Address
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult
import cleathitch.http.responseWithStatus
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.protocol.CloudProtocol
import cleathitch.protocol.decodeBody
import cleathitch.protocol.decodeResponse
import cleathitch.scheduler.api.RentalAnswer
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory

/**
 * A client of the cloud's API. Failures are returned, not thrown; malformed responses are logged here, failed calls by
 * [PooledHttpClient]. Each call first waits for [rateLimiter], and [timeoutMs] starts after this wait. Confined to the event loop
 * of its `vertx`.
 */
class CloudClient(
    vertx: Vertx,
    private val address: Address,
    private val rateLimiter: CallRateLimiter,
    private val timeoutMs: Long,
    private val processingTimes: ProcessingTimes,
    meterRegistry: MeterRegistry,
) {
    private val client = PooledHttpClient(vertx, "cloud", maxConnections = 4, meterRegistry)

    /** Fetches the machine types that can be rented. */
    suspend fun machineTypes(): ServiceResult<List<MachineType>> =
        call(HttpMethod.GET, "/flavors").decodeResponse(OK, decode = CloudProtocol::machineTypes).also(::logIfMalformed)

    /** Fetches the list of all machines, page by page; fails if any page can't be read. */
    suspend fun machines(): ServiceResult<List<ListedMachine>> {
        val machines = ArrayList<ListedMachine>()
        var after: MachineId? = null
        while (true) {
            val page = when (val result = machinePage(after)) {
                is ServiceResult.Success -> result.value
                is ServiceResult.Failure -> return result
            }
            machines += page.machines
            after = page.machines.lastOrNull()?.machine
            if (!page.hasMore || after == null) return ServiceResult.Success(machines)
        }
    }

    private suspend fun machinePage(after: MachineId?): ServiceResult<CloudProtocol.MachinePage> {
        val since = if (after == null) "" else "&since=${after.text}"
        return call(HttpMethod.GET, "/hosts?most=$PAGE_SIZE$since")
            .decodeResponse(OK) { body -> processingTimes.measure(ProcessingStage.MACHINE_LIST) { CloudProtocol.machinePage(body) } }
            .also(::logIfMalformed)
    }

    /** Rents machines. The request's id makes the call idempotent, so the caller should repeat it after [RentalAnswer.Unknown]. */
    suspend fun rent(rental: Event.RentalRequested): RentalAnswer =
        when (val result = call(HttpMethod.POST, "/hosts", CloudProtocol.rentalRequest(rental))) {
            is CallResult.Failed -> RentalAnswer.Unknown
            is CallResult.Answered ->
                decodeBody(result.body) { rentalAnswer(result.status, it) }.also(::logIfMalformed).valueOrNull() ?: RentalAnswer.Unknown
        }

    private fun rentalAnswer(status: Int, body: ByteArray): RentalAnswer = when {
        status == OK -> RentalAnswer.Rented(CloudProtocol.rentedMachines(body))
        status == BAD_REQUEST -> RentalAnswer.Rejected
        status == UNAVAILABLE && CloudProtocol.isNoCapacity(body) -> RentalAnswer.NoCapacity
        else -> RentalAnswer.Unknown
    }

    /** Terminates [machines]. Returns true if the cloud confirms it; false means that the result is unknown. */
    suspend fun terminate(machines: List<MachineId>): Boolean =
        call(HttpMethod.POST, "/hosts/return", CloudProtocol.terminationRequest(machines)).responseWithStatus(OK) != null

    private suspend fun call(method: HttpMethod, path: String, body: ByteArray? = null): CallResult {
        rateLimiter.acquire()
        return client.call(address, method, path, body, timeoutMs)
    }

    private fun logIfMalformed(result: ServiceResult<*>) {
        val error = (result as? ServiceResult.Failure)?.error as? ServiceError.MalformedResponse ?: return
        log.error("event=malformed_answer client=cloud server={} error=\"{}\"", address, error.message)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.cloud")
        const val PAGE_SIZE = 500
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503
    }
}
