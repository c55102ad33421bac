package cleathitch.protocol

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.ListedMachine
import cleathitch.scheduler.model.ListedState
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import com.fasterxml.jackson.databind.JsonNode

/** What the cloud and the controllers say to each other. */
object CloudProtocol {
    class Page(val machines: List<ListedMachine>, val more: Boolean)

    fun types(body: ByteArray): List<MachineType> = MessageCodec.decodeMap(body).list("hornadas").map {
        MachineType(
            name = it.text("label"),
            cpus = it.amount("vcpus"),
            gpus = it.amount("gpus"),
            memoryGb = it.amount("memoryGb"),
            cacheGb = it.amount("localGb"),
            fetchGbPerS = it.amount("fetchGbPerS"),
            price = it.amount("rate"),
            spotPrice = it.amount("spotPrice"),
            bootS = it.amount("bootS"),
            zones = it.texts("comarcas"),
        )
    }

    fun rental(asked: Event.RentalRequested): ByteArray = MessageCodec.encode(
        MessageCodec.newMap().put("alquiler", asked.request).put("hornada", asked.offer.type).put("comarca", asked.offer.zone)
            .put("prestados", asked.offer.spot).put("number", asked.count),
    )

    fun rented(body: ByteArray): List<MachineId> = MessageCodec.decodeMap(body).texts("burros").map(::MachineId)

    fun isNoCapacity(body: ByteArray): Boolean = MessageCodec.decodeMap(body).optionalText("error") == "no capacity"

    fun returns(machines: List<MachineId>): ByteArray {
        val map = MessageCodec.newMap()
        val list = map.putArray("burros")
        machines.forEach { list.add(it.text) }
        return MessageCodec.encode(map)
    }

    fun page(body: ByteArray): Page {
        val map = MessageCodec.decodeMap(body)
        return Page(map.list("burros").map(::listed), map.bool("truncated"))
    }

    private fun listed(node: JsonNode) = ListedMachine(
        MachineId(node.text("nameId")),
        node.text("addr"),
        Offer(node.text("hornada"), node.text("comarca"), node.bool("prestados")),
        when (val state = node.text("estado")) {
            "starting" -> ListedState.STARTING
            "running" -> ListedState.RUNNING
            "failed" -> ListedState.FAILED
            else -> throw MalformedMessageException("estado $state is unknown")
        },
        node.amount("heldS"),
    )
}
