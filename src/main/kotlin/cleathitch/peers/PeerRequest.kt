package cleathitch.peers

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A request of one controller to another. Serial names are part of the message format, and never change. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@Suppress("ArrayInDataClass") // never compared
sealed interface PeerRequest {
    /**
     * Announces that the sender [from] is running and is the leader of [term]. [leader] exists only because it is part of the message
     * format: senders set it to the same value as [from], and receivers ignore it.
     */
    @Serializable
    @SerialName("leads")
    data class AnnounceLeader(val from: String, val leader: String?, val term: Long) : PeerRequest

    /** A user's request that only the leader can answer. */
    @Serializable
    @SerialName("user")
    data class ForwardUserRequest(val method: String, val path: String, val body: ByteArray) : PeerRequest

    /** The images that each machine has in its cache, as indexes into [images] and [sizesGb]. */
    @Serializable
    @SerialName("images")
    data class ImageCacheHints(
        val images: List<String>,
        val sizesGb: List<Double>,
        @SerialName("machines")
        val caches: List<MachineCache>,
    ) : PeerRequest {
        /** The images of one machine, as indexes into [ImageCacheHints.images]. */
        @Serializable
        @CborArray
        data class MachineCache(val machine: MachineId, val incarnation: Long, val images: List<Int>)

        /** The caches by machine; images whose index is out of range are left out. */
        fun toImageCaches(): Map<MachineId, ImageCache> = caches.associate { it.machine to ImageCache(it.incarnation, sizesOf(it.images)) }

        private fun sizesOf(indexes: List<Int>): Map<String, Double> =
            indexes.filter { it in images.indices && it in sizesGb.indices }.associate { images[it] to sizesGb[it] }

        companion object {
            /** Limits how long the encoding of a message blocks the event loop. */
            private const val MACHINES_PER_MESSAGE = 200

            private const val BYTES_PER_IMAGE = 20
            private const val BYTES_PER_MACHINE = 24
            private const val BYTES_PER_CACHED_IMAGE = 5

            /** The messages that together contain [caches]; each holds the images of its own machines only. */
            fun of(caches: Map<MachineId, ImageCache>): List<ImageCacheHints> =
                MessageParts.split(caches.entries.toList(), MACHINES_PER_MESSAGE, ::estimatedBytes).map(::message)

            /** An upper bound: images that several machines of a message share are stored once. */
            private fun estimatedBytes(entry: Map.Entry<MachineId, ImageCache>): Int {
                val images = entry.value.sizesGb.keys
                val imageBytes = images.sumOf { MessageParts.textBytes(it) + BYTES_PER_IMAGE + BYTES_PER_CACHED_IMAGE }
                return BYTES_PER_MACHINE + MessageParts.textBytes(entry.key.text) + imageBytes
            }

            private fun message(caches: List<Map.Entry<MachineId, ImageCache>>): ImageCacheHints {
                val sizes = LinkedHashMap<String, Double>()
                caches.forEach { sizes.putAll(it.value.sizesGb) }
                val indexes = sizes.keys.withIndex().associate { (index, image) -> image to index }
                val machineCaches = caches.map { (id, it) -> MachineCache(id, it.incarnation, it.sizesGb.keys.map(indexes::getValue)) }
                return ImageCacheHints(sizes.keys.toList(), sizes.values.toList(), machineCaches)
            }
        }
    }

    /** Heartbeats, polls and delivery results that the follower [from] forwards to the leader of [term]. */
    @Serializable
    @SerialName("batch")
    data class FollowerBatch(
        val from: String,
        val term: Long,
        @SerialName("whole")
        val fullHeartbeats: List<FullHeartbeatMessage>,
        @SerialName("heartbeats")
        val unchangedHeartbeats: List<UnchangedHeartbeatMessage>,
        val polls: List<JobId>,
        @SerialName("directResults")
        val deliveryResults: List<DeliveryResultMessage>,
    ) : PeerRequest {
        /** All heartbeats in the order of [HeartbeatQueue.Batch.heartbeats][cleathitch.workers.HeartbeatQueue.Batch.heartbeats]. */
        fun toHeartbeats(): List<ForwardedHeartbeat> =
            fullHeartbeats.map { ForwardedHeartbeat.Full(it.toHeartbeat()) } + unchangedHeartbeats.map { it.toHeartbeat() }

        companion object {
            /**
             * The message for [batch]. Full heartbeats precede unchanged ones in the batch and in the message, so the leader's decisions
             * are in the order of the batch.
             */
            fun of(from: String, batch: OutgoingBatch): FollowerBatch {
                val heartbeats = batch.heartbeats.heartbeats
                return FollowerBatch(
                    from,
                    batch.heartbeats.term,
                    heartbeats.filterIsInstance<ForwardedHeartbeat.Full>().map { FullHeartbeatMessage.of(it.heartbeat) },
                    heartbeats.filterIsInstance<ForwardedHeartbeat.Unchanged>().map(UnchangedHeartbeatMessage::of),
                    batch.polls,
                    batch.deliveryResults.map { DeliveryResultMessage(it.id, FullHeartbeatMessage.of(it.heartbeat)) },
                )
            }
        }
    }

    /** Commands of the leader of [term] that a follower is to deliver to workers; it returns the results in its batches. */
    @Serializable
    @SerialName("deliver")
    data class DeliverCommands(val from: String, val term: Long, val commands: List<DeliveryMessage>) : PeerRequest
}
