package cleathitch.cloud

import cleathitch.WorkPart
import cleathitch.WorkTimes
import cleathitch.core.Event
import cleathitch.core.ListedMachine
import cleathitch.core.MachineId
import cleathitch.core.MachineType
import cleathitch.core.RentalAnswer
import cleathitch.http.Address
import cleathitch.http.CallResult
import cleathitch.http.PooledHttpClient
import cleathitch.http.answerWith
import cleathitch.protocol.CloudWire
import cleathitch.protocol.Malformed
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/** Spreads calls so that the cloud's limit isn't passed; one caller at a time takes its turn. */
class CallBudget(perS: Double, private val steadyMs: () -> Long) {
    private val gapMs = (1000 / perS).toLong().coerceAtLeast(1)
    private var nextMs = 0L

    suspend fun take() {
        val now = steadyMs()
        // an unused second may be made up for, as the cloud's own limit allows bursts
        val turn = maxOf(nextMs, now - BURST_MS)
        nextMs = turn + gapMs
        if (turn > now) delay(turn - now)
    }

    private companion object {
        const val BURST_MS = 1000L
    }
}

/** The cloud's interface; every failure is a value. */
class CloudClient(
    vertx: Vertx,
    private val address: Address,
    private val budget: CallBudget,
    private val timeoutMs: Long,
    private val workTimes: WorkTimes,
    meters: MeterRegistry = SimpleMeterRegistry(),
) {
    private val client = PooledHttpClient(vertx, "cloud", connections = 4, meters = meters)

    suspend fun types(): List<MachineType>? = read(call(HttpMethod.GET, "/flavors", null).answerWith(200)) { CloudWire.types(it.body) }

    /** All machines, or null if the list couldn't be read to its end. */
    suspend fun machines(): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        var after: String? = null
        while (true) {
            val since = if (after == null) "" else "&since=$after"
            val answer = call(HttpMethod.GET, "/hosts?most=$PAGE$since", null).answerWith(200)
            val page = read(answer) { workTimes.measure(WorkPart.MACHINE_LIST) { CloudWire.page(it.body) } } ?: return null
            all += page.machines
            after = page.machines.lastOrNull()?.machine?.text
            if (!page.more || after == null) return all
        }
    }

    suspend fun rent(asked: Event.RentalAsked): RentalAnswer {
        val answer = call(HttpMethod.POST, "/hosts", CloudWire.rental(asked)) as? CallResult.Answered
        return read(answer) {
            when {
                it.status == 200 -> RentalAnswer.Rented(CloudWire.rented(it.body))
                it.status == 400 -> RentalAnswer.Rejected
                it.status == 503 && CloudWire.isNoCapacity(it.body) -> RentalAnswer.NoCapacity
                else -> RentalAnswer.Unknown
            }
        } ?: RentalAnswer.Unknown
    }

    /** True once the machines are surely gone. */
    suspend fun giveBack(machines: List<MachineId>): Boolean =
        call(HttpMethod.POST, "/hosts/return", CloudWire.returns(machines)).answerWith(200) != null

    private suspend fun call(method: HttpMethod, path: String, body: ByteArray?): CallResult {
        budget.take()
        return client.call(address, method, path, body, timeoutMs)
    }

    private inline fun <T> read(answer: CallResult.Answered?, decode: (CallResult.Answered) -> T): T? = try {
        answer?.let(decode)
    } catch (e: Malformed) {
        log.error("a garbled answer from the cloud: {}", e.message)
        null
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.cloud")
        const val PAGE = 500
    }
}
