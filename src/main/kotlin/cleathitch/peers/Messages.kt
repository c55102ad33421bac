package cleathitch.peers

import cleathitch.core.ForwardedReport
import cleathitch.core.HeldImages
import cleathitch.core.JobId
import cleathitch.core.MachineId
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray

/** What one node asks of another. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@Suppress("ArrayInDataClass") // never compared
sealed interface PeerRequest {
    /** Who leads, as the sender knows; also a sign of life. */
    @Serializable
    @SerialName("leads")
    data class Leads(val from: String, val leader: String?, val term: Long) : PeerRequest

    /** A user's request that only the leader can answer. */
    @Serializable
    @SerialName("user")
    data class User(val method: String, val path: String, val body: ByteArray) : PeerRequest

    /** Which machines hold which images; [images] and [sizesGb] are named by their places in the lists. */
    @Serializable
    @SerialName("images")
    data class Images(val images: List<String>, val sizesGb: List<Double>, val machines: List<Holder>) : PeerRequest {
        @Serializable
        @CborArray
        data class Holder(val machine: MachineId, val session: Long, val images: List<Int>)

        fun held(): Map<MachineId, HeldImages> = machines.associate { holder ->
            holder.machine to
                HeldImages(
                    holder.session,
                    holder.images.filter { it in images.indices && it in sizesGb.indices }.associate {
                        images[it] to
                            sizesGb[it]
                    },
                )
        }

        companion object {
            /** So many machines' images fit into a body by far, and are encoded in little time. */
            private const val MACHINES_EACH = 200

            fun of(held: Map<MachineId, HeldImages>): List<Images> {
                val sizes = LinkedHashMap<String, Double>()
                held.values.forEach { sizes.putAll(it.sizesGb) }
                val places = sizes.keys.withIndex().associate { (place, image) -> image to place }
                val holders = held.map { (id, it) -> Holder(id, it.session, it.sizesGb.keys.map(places::getValue)) }
                return holders.chunked(MACHINES_EACH) { Images(sizes.keys.toList(), sizes.values.toList(), it) }
            }
        }
    }

    /** What came to a follower and is for the leader of [term] to decide. */
    @Serializable
    @SerialName("batch")
    data class Batch(
        val from: String,
        val term: Long,
        val whole: List<ReportMessage>,
        val heartbeats: List<HeartbeatMessage>,
        val polls: List<JobId>,
        val directResults: List<DirectResultMessage>,
    ) : PeerRequest {
        fun toReports(): List<ForwardedReport> = whole.map { ForwardedReport.Whole(it.toReport()) } + heartbeats.map { it.toHeartbeat() }

        companion object {
            /** The batch's reports hold the whole ones first, and so do the leader's decisions. */
            fun of(from: String, batch: OutgoingBatch) = Batch(
                from,
                batch.reports.term,
                batch.reports.reports.filterIsInstance<ForwardedReport.Whole>().map { ReportMessage.of(it.report) },
                batch.reports.reports.filterIsInstance<ForwardedReport.Heartbeat>().map(HeartbeatMessage::of),
                batch.polls,
                batch.directResults.map { DirectResultMessage(it.id, ReportMessage.of(it.report)) },
            )
        }
    }

    /** Commands of the leader of [term], which the follower delivers to workers; their results come in its batches. */
    @Serializable
    @SerialName("deliver")
    data class Deliver(val from: String, val term: Long, val commands: List<DirectMessage>) : PeerRequest
}

@Serializable
@Suppress("ArrayInDataClass") // never compared
data class PeerReply(
    val status: Int,
    val body: ByteArray? = null,
    val retryAfterS: Int? = null,
    val leader: String? = null,
    val term: Long = 0,

    /** Decisions about reports, in the order of [PeerRequest.Batch.toReports]. */
    val decisions: List<DecisionMessage>? = null,

    /** Answers to polls, in the order of [PeerRequest.Batch.polls]. */
    val statuses: List<StatusMessage>? = null,
)

@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun encode(request: PeerRequest): ByteArray = cbor.encodeToByteArray(PeerRequest.serializer(), request)

    fun decodeRequest(bytes: ByteArray): PeerRequest = decode(bytes, PeerRequest.serializer())

    fun encode(reply: PeerReply): ByteArray = cbor.encodeToByteArray(PeerReply.serializer(), reply)

    fun decodeReply(bytes: ByteArray): PeerReply = decode(bytes, PeerReply.serializer())

    /** The library tells some garbled messages by exceptions of other kinds, as for an index out of range. */
    private fun <T> decode(bytes: ByteArray, deserializer: DeserializationStrategy<T>): T = try {
        cbor.decodeFromByteArray(deserializer, bytes)
    } catch (e: SerializationException) {
        throw e
    } catch (e: RuntimeException) {
        throw SerializationException("the message is garbled", e)
    }
}
