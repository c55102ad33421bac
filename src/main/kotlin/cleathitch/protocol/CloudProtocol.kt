package cleathitch.protocol

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import com.fasterxml.jackson.databind.JsonNode

/** The messages of the cloud's API. Every decoding function throws [MalformedMessageException] for a body that violates the protocol. */
object CloudProtocol {
    private const val NO_CAPACITY = "no capacity"

    private val listedStates = mapOf(
        "starting" to ListedState.STARTING,
        "running" to ListedState.RUNNING,
        "failed" to ListedState.FAILED,
    )

    /** One page of the list of machines, ordered by id; [hasMore] if another page follows. */
    class MachinePage(val machines: List<ListedMachine>, val hasMore: Boolean)

    /** Decodes the machine types that the cloud offers. */
    fun machineTypes(body: ByteArray): List<MachineType> = MessageCodec.decodeMap(body).requiredList("hornadas").map {
        MachineType(
            name = it.requiredName("label"),
            cpus = it.requiredDouble("vcpus"),
            gpus = it.requiredDouble("gpus"),
            memoryGb = it.requiredDouble("memoryGb"),
            cacheGb = it.requiredDouble("localGb"),
            fetchGbPerS = it.requiredDouble("fetchGbPerS"),
            price = it.requiredDouble("rate"),
            spotPrice = it.requiredDouble("spotPrice"),
            bootS = it.requiredDouble("bootS"),
            zones = it.requiredTexts("comarcas"),
        )
    }

    /** Encodes a request for machines. It is idempotent: the cloud treats a repetition with the same request id as the same rental. */
    fun rentalRequest(rental: Event.RentalRequested): ByteArray = MessageCodec.encode(
        MessageCodec.newMap().put("alquiler", rental.request).put("hornada", rental.offer.type).put("comarca", rental.offer.zone)
            .put("prestados", rental.offer.spot).put("number", rental.count),
    )

    /** Decodes the ids of the machines that were rented. */
    fun rentedMachines(body: ByteArray): List<MachineId> = MessageCodec.decodeMap(body).requiredTexts("burros").map(::MachineId)

    /** True if a rental failed only because the zone has no machine of that type at present; a later request may succeed. */
    fun isNoCapacity(body: ByteArray): Boolean = MessageCodec.decodeMap(body).optionalText("error") == NO_CAPACITY

    /** Encodes a request to terminate [machines]. */
    fun terminationRequest(machines: List<MachineId>): ByteArray {
        val map = MessageCodec.newMap()
        val list = map.putArray("burros")
        machines.forEach { list.add(it.text) }
        return MessageCodec.encode(map)
    }

    /** Decodes one page of the list of machines. */
    fun machinePage(body: ByteArray): MachinePage {
        val map = MessageCodec.decodeMap(body)
        return MachinePage(map.requiredList("burros").map(::listed), map.requiredBoolean("truncated"))
    }

    private fun listed(node: JsonNode) = ListedMachine(
        MachineId(node.requiredName("nameId")),
        node.requiredText("addr"),
        Offer(node.requiredName("hornada"), node.requiredName("comarca"), node.requiredBoolean("prestados")),
        node.requiredEnum("estado", listedStates),
        node.requiredDouble("heldS"),
    )
}
