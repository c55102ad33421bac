package cleathitch.storage

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.MessageCodec
import cleathitch.protocol.text
import cleathitch.protocol.whole
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.FinishedJobsSnapshot
import cleathitch.scheduler.log.InventorySnapshot
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LogRecord
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Term
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
object LogCodec : DecisionLog.Sizes {
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
        is Event.JobEvent -> EVENT_BYTES + text(event.job.text)
        is Event.RentalRequested -> EVENT_BYTES * 4 + text(event.request) + text(event.offer.type) + text(event.offer.zone)
        is Event.RentalResolved -> EVENT_BYTES * 2 + text(event.request)
        is Event.MachineTerminationRequested -> EVENT_BYTES * 2 + text(event.machine.text)
        is Event.MachineTerminated -> EVENT_BYTES * 2 + text(event.machine.text)
    }

    override fun of(cell: JobSnapshot): Int =
        of(cell.spec) + cell.done.size * 4 / 3 + cell.live.sumOf { LIVE_BYTES + text(it.machine.text) } + EVENT_BYTES

    private fun text(text: String) = text.length * 4 / 3 + 2

    private fun of(spec: JobSpec): Int {
        val texts = spec.className.length + spec.team.length + spec.image.length + (spec.zone?.length ?: 0) +
            (spec.allowedTypes?.sumOf { it.length + 3 } ?: 0)
        return SPEC_BYTES + texts * 4
    }

    /** The value, in as many parts as were asked for. */
    fun encode(stored: StoredValue, parts: Int): List<ObjectNode> {
        if (stored is StoredValue.Head) {
            return listOf(MessageCodec.newMap().put("seq", stored.seq.number).put("term", stored.term.revision))
        }
        val bytes = when (stored) {
            is StoredValue.Head -> error("handled above")
            is StoredValue.OfRecord -> cbor.encodeToByteArray(LogRecord.serializer(), stored.record)
            is StoredValue.OfJob -> cbor.encodeToByteArray(JobSnapshot.serializer(), stored.cell)
            is StoredValue.OfFleet -> cbor.encodeToByteArray(InventorySnapshot.serializer(), stored.cell)
            is StoredValue.Finals -> cbor.encodeToByteArray(FinishedJobsSnapshot.serializer(), stored.cell)
        }
        val text = Base64.getEncoder().encodeToString(bytes)
        return (0 until parts).map { part ->
            MessageCodec.newMap().put(FIELD, text.substring(text.length * part / parts, text.length * (part + 1) / parts))
        }
    }

    fun head(node: JsonNode) = StoredValue.Head(LogIndex(node.whole("seq")), Term(node.whole("term")))

    /** Puts together what stands under the deployment's keys, [entries] without their common prefix. */
    fun snapshot(entries: List<KeyValueStoreProtocol.Entry>): RecoveredState {
        var head = LogIndex.NONE
        val records = ArrayList<Pair<LogIndex, LogRecord>>()
        val jobs = LinkedHashMap<String, MutableList<KeyValueStoreProtocol.Entry>>()
        var fleet: InventorySnapshot? = null
        val finals = ArrayList<Pair<Long, FinishedJobsSnapshot>>()
        for (entry in entries) {
            val key = entry.key
            when {
                key == DecisionLog.HEAD -> head = head(entry.value).seq
                key == DecisionLog.FLEET -> fleet = decode(InventorySnapshot.serializer(), entry.value.text(FIELD))
                key.startsWith(DecisionLog.RECORD_PREFIX) ->
                    records +=
                        LogIndex(number(key, DecisionLog.RECORD_PREFIX)) to decode(LogRecord.serializer(), entry.value.text(FIELD))
                key.startsWith(DecisionLog.FINALS_PREFIX) ->
                    finals +=
                        number(key, DecisionLog.FINALS_PREFIX) to decode(FinishedJobsSnapshot.serializer(), entry.value.text(FIELD))
                key.startsWith(DecisionLog.JOB_PREFIX) -> jobs.getOrPut(key.substringBeforeLast('/')) { ArrayList() } += entry
            }
        }
        val cells = jobs.values.map { parts ->
            val text = parts.sortedBy { it.key.substringAfterLast('/').toInt() }.joinToString("") { it.value.text(FIELD) }
            RecoveredState.StoredJob(decode(JobSnapshot.serializer(), text), parts.size)
        }
        return RecoveredState(head, records.sortedBy { it.first }, cells, fleet, finals)
    }

    private fun <T> decode(serializer: kotlinx.serialization.KSerializer<T>, text: String): T =
        cbor.decodeFromByteArray(serializer, Base64.getDecoder().decode(text))

    private fun number(key: String, prefix: String) =
        key.removePrefix(prefix).toLongOrNull() ?: throw MalformedMessageException("key $key isn't one of ours")
}
