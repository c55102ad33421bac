package cleathitch.cloud

import cleathitch.http.Address
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.http.answerWith
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.protocol.CloudProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.scheduler.api.RentalAnswer
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory

/** The cloud's interface; every failure is a value. */
class CloudClient(
    vertx: Vertx,
    private val address: Address,
    private val budget: CallPacer,
    private val timeoutMs: Long,
    private val processingTimes: ProcessingTimes,
    meters: MeterRegistry,
) {
    private val client = PooledHttpClient(vertx, "cloud", maxConnections = 4, meters)

    suspend fun types(): List<MachineType>? = read(call(HttpMethod.GET, "/flavors", null).answerWith(200)) {
        CloudProtocol.machineTypes(it.body)
    }

    /** All machines, or null if the list couldn't be read to its end. */
    suspend fun machines(): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        var after: String? = null
        while (true) {
            val since = if (after == null) "" else "&since=$after"
            val answer = call(HttpMethod.GET, "/hosts?most=$PAGE$since", null).answerWith(200)
            val page =
                read(answer) { processingTimes.measure(ProcessingStage.MACHINE_LIST) { CloudProtocol.machinePage(it.body) } } ?: return null
            all += page.machines
            after = page.machines.lastOrNull()?.machine?.text
            if (!page.hasMore || after == null) return all
        }
    }

    suspend fun rent(asked: Event.RentalRequested): RentalAnswer {
        val answer = call(HttpMethod.POST, "/hosts", CloudProtocol.rentalRequest(asked)) as? CallResult.Answered
        return read(answer) {
            when {
                it.status == 200 -> RentalAnswer.Rented(CloudProtocol.rentedMachines(it.body))
                it.status == 400 -> RentalAnswer.Rejected
                it.status == 503 && CloudProtocol.isNoCapacity(it.body) -> RentalAnswer.NoCapacity
                else -> RentalAnswer.Unknown
            }
        } ?: RentalAnswer.Unknown
    }

    /** True once the machines are surely gone. */
    suspend fun giveBack(machines: List<MachineId>): Boolean =
        call(HttpMethod.POST, "/hosts/return", CloudProtocol.terminationRequest(machines)).answerWith(200) != null

    private suspend fun call(method: HttpMethod, path: String, body: ByteArray?): CallResult {
        budget.take()
        return client.call(address, method, path, body, timeoutMs)
    }

    private inline fun <T> read(answer: CallResult.Answered?, decode: (CallResult.Answered) -> T): T? = try {
        answer?.let(decode)
    } catch (e: MalformedMessageException) {
        log.error("a garbled answer from the cloud: {}", e.message)
        null
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.cloud")
        const val PAGE = 500
    }
}
