package cleathitch.peers

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** What one node asks of another. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@Suppress("ArrayInDataClass") // never compared
sealed interface PeerRequest {
    /** Who leads, as the sender knows; also a sign of life. */
    @Serializable
    @SerialName("leads")
    data class AnnounceLeader(val from: String, val leader: String?, val term: Long) : PeerRequest

    /** A user's request that only the leader can answer. */
    @Serializable
    @SerialName("user")
    data class ForwardUserRequest(val method: String, val path: String, val body: ByteArray) : PeerRequest

    /** Which machines hold which images; [images] and [sizesGb] are named by their places in the lists. */
    @Serializable
    @SerialName("images")
    data class ImageCacheHints(val images: List<String>, val sizesGb: List<Double>, val machines: List<Holder>) : PeerRequest {
        @Serializable
        @CborArray
        data class Holder(val machine: MachineId, val incarnation: Long, val images: List<Int>)

        fun held(): Map<MachineId, ImageCache> = machines.associate { holder ->
            holder.machine to
                ImageCache(
                    holder.incarnation,
                    holder.images.filter { it in images.indices && it in sizesGb.indices }.associate {
                        images[it] to
                            sizesGb[it]
                    },
                )
        }

        companion object {
            /** So many machines' images fit into a body by far, and are encoded in little time. */
            private const val MACHINES_EACH = 200

            fun of(held: Map<MachineId, ImageCache>): List<ImageCacheHints> {
                val sizes = LinkedHashMap<String, Double>()
                held.values.forEach { sizes.putAll(it.sizesGb) }
                val places = sizes.keys.withIndex().associate { (place, image) -> image to place }
                val holders = held.map { (id, it) -> Holder(id, it.incarnation, it.sizesGb.keys.map(places::getValue)) }
                return holders.chunked(MACHINES_EACH) { ImageCacheHints(sizes.keys.toList(), sizes.values.toList(), it) }
            }
        }
    }

    /** What came to a follower and is for the leader of [term] to decide. */
    @Serializable
    @SerialName("batch")
    data class FollowerBatch(
        val from: String,
        val term: Long,
        val whole: List<FullHeartbeatMessage>,
        val heartbeats: List<UnchangedHeartbeatMessage>,
        val polls: List<JobId>,
        val directResults: List<DeliveryResultMessage>,
    ) : PeerRequest {
        fun toReports(): List<ForwardedHeartbeat> =
            whole.map { ForwardedHeartbeat.Full(it.toHeartbeat()) } + heartbeats.map { it.toHeartbeat() }

        companion object {
            /** The batch's reports hold the whole ones first, and so do the leader's decisions. */
            fun of(from: String, batch: OutgoingBatch) = FollowerBatch(
                from,
                batch.reports.term,
                batch.reports.reports.filterIsInstance<ForwardedHeartbeat.Full>().map { FullHeartbeatMessage.of(it.heartbeat) },
                batch.reports.reports.filterIsInstance<ForwardedHeartbeat.Unchanged>().map(UnchangedHeartbeatMessage::of),
                batch.polls,
                batch.directResults.map { DeliveryResultMessage(it.id, FullHeartbeatMessage.of(it.report)) },
            )
        }
    }

    /** Commands of the leader of [term], which the follower delivers to workers; their results come in its batches. */
    @Serializable
    @SerialName("deliver")
    data class DeliverCommands(val from: String, val term: Long, val commands: List<DeliveryMessage>) : PeerRequest
}
