package cleathitch.protocol

import cleathitch.core.Event
import cleathitch.core.ListedMachine
import cleathitch.core.ListedState
import cleathitch.core.MachineId
import cleathitch.core.MachineType
import cleathitch.core.Offer
import com.fasterxml.jackson.databind.JsonNode

/** What the cloud and the controllers say to each other. */
object CloudWire {
    class Page(val machines: List<ListedMachine>, val more: Boolean)

    fun types(body: ByteArray): List<MachineType> = Wire.decodeMap(body).list("hornadas").map {
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

    fun rental(asked: Event.RentalAsked): ByteArray = Wire.encode(
        Wire.newMap().put("alquiler", asked.request).put("hornada", asked.offer.type).put("comarca", asked.offer.zone)
            .put("prestados", asked.offer.spot).put("number", asked.count),
    )

    fun rented(body: ByteArray): List<MachineId> = Wire.decodeMap(body).texts("burros").map(::MachineId)

    fun isNoCapacity(body: ByteArray): Boolean = Wire.decodeMap(body).optionalText("error") == "no capacity"

    fun returns(machines: List<MachineId>): ByteArray {
        val map = Wire.newMap()
        val list = map.putArray("burros")
        machines.forEach { list.add(it.text) }
        return Wire.encode(map)
    }

    fun page(body: ByteArray): Page {
        val map = Wire.decodeMap(body)
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
            else -> throw Malformed("estado $state is unknown")
        },
        node.amount("heldS"),
    )
}
