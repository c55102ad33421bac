package cleathitch.state

import cleathitch.core.Event
import cleathitch.core.FinalsCell
import cleathitch.core.FleetCell
import cleathitch.core.JobCell
import cleathitch.core.JobSpec
import cleathitch.core.Journal
import cleathitch.core.Record
import cleathitch.core.Seq
import cleathitch.core.Snapshot
import cleathitch.core.Stored
import cleathitch.core.Term
import cleathitch.protocol.Malformed
import cleathitch.protocol.StateWire
import cleathitch.protocol.Wire
import cleathitch.protocol.text
import cleathitch.protocol.whole
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.util.Base64

/**
 * How records and cells look in the state service: CBOR, as between our own processes, in Base64,
 * since values may hold nothing binary.
 */
@OptIn(ExperimentalSerializationApi::class)
object StoredCodec : Journal.Sizes {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }
    private const val FIELD = "cbor"

    /** What an event or a spec takes in Base64 beside its texts; measured generously. */
    private const val SPEC_BYTES = 700
    private const val EVENT_BYTES = 32
    private const val LIVE_BYTES = 16

    override fun of(event: Event): Int = when (event) {
        is Event.JobAccepted -> of(event.spec)
        is Event.AttemptStarted -> EVENT_BYTES + text(event.job.text) + text(event.machine.text)
        is Event.OfJob -> EVENT_BYTES + text(event.job.text)
        is Event.RentalAsked -> EVENT_BYTES * 4 + text(event.request) + text(event.offer.type) + text(event.offer.zone)
        is Event.RentalSettled -> EVENT_BYTES * 2 + text(event.request)
        is Event.MachineRetired -> EVENT_BYTES * 2 + text(event.machine.text)
        is Event.MachineGone -> EVENT_BYTES * 2 + text(event.machine.text)
    }

    override fun of(cell: JobCell): Int =
        of(cell.spec) + cell.done.size * 4 / 3 + cell.live.sumOf { LIVE_BYTES + text(it.machine.text) } + EVENT_BYTES

    private fun text(text: String) = text.length * 4 / 3 + 2

    private fun of(spec: JobSpec): Int {
        val texts = spec.className.length + spec.team.length + spec.image.length + (spec.zone?.length ?: 0) +
            (spec.types?.sumOf { it.length + 3 } ?: 0)
        return SPEC_BYTES + texts * 4
    }

    /** The value, in as many parts as were asked for. */
    fun encode(stored: Stored, parts: Int): List<ObjectNode> {
        if (stored is Stored.Head) {
            return listOf(Wire.newMap().put("seq", stored.seq.number).put("term", stored.term.revision))
        }
        val bytes = when (stored) {
            is Stored.Head -> error("handled above")
            is Stored.OfRecord -> cbor.encodeToByteArray(Record.serializer(), stored.record)
            is Stored.OfJob -> cbor.encodeToByteArray(JobCell.serializer(), stored.cell)
            is Stored.OfFleet -> cbor.encodeToByteArray(FleetCell.serializer(), stored.cell)
            is Stored.Finals -> cbor.encodeToByteArray(FinalsCell.serializer(), stored.cell)
        }
        val text = Base64.getEncoder().encodeToString(bytes)
        return (0 until parts).map { part ->
            Wire.newMap().put(FIELD, text.substring(text.length * part / parts, text.length * (part + 1) / parts))
        }
    }

    fun head(node: JsonNode) = Stored.Head(Seq(node.whole("seq")), Term(node.whole("term")))

    /** Puts together what stands under the deployment's keys, [entries] without their common prefix. */
    fun snapshot(entries: List<StateWire.Entry>): Snapshot {
        var head = Seq.NONE
        val records = ArrayList<Pair<Seq, Record>>()
        val jobs = LinkedHashMap<String, MutableList<StateWire.Entry>>()
        var fleet: FleetCell? = null
        val finals = ArrayList<Pair<Long, FinalsCell>>()
        for (entry in entries) {
            val key = entry.key
            when {
                key == Journal.HEAD -> head = head(entry.value).seq
                key == Journal.FLEET -> fleet = decode(FleetCell.serializer(), entry.value.text(FIELD))
                key.startsWith(Journal.RECORD_PREFIX) ->
                    records +=
                        Seq(number(key, Journal.RECORD_PREFIX)) to decode(Record.serializer(), entry.value.text(FIELD))
                key.startsWith(Journal.FINALS_PREFIX) ->
                    finals +=
                        number(key, Journal.FINALS_PREFIX) to decode(FinalsCell.serializer(), entry.value.text(FIELD))
                key.startsWith(Journal.JOB_PREFIX) -> jobs.getOrPut(key.substringBeforeLast('/')) { ArrayList() } += entry
            }
        }
        val cells = jobs.values.map { parts ->
            val text = parts.sortedBy { it.key.substringAfterLast('/').toInt() }.joinToString("") { it.value.text(FIELD) }
            Snapshot.StoredJob(decode(JobCell.serializer(), text), parts.size)
        }
        return Snapshot(head, records.sortedBy { it.first }, cells, fleet, finals)
    }

    private fun <T> decode(serializer: kotlinx.serialization.KSerializer<T>, text: String): T =
        cbor.decodeFromByteArray(serializer, Base64.getDecoder().decode(text))

    private fun number(key: String, prefix: String) =
        key.removePrefix(prefix).toLongOrNull() ?: throw Malformed("key $key isn't one of ours")
}
