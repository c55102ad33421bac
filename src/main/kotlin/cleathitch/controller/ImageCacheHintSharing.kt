package cleathitch.controller

import cleathitch.config.Peer
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerCodec
import cleathitch.peers.PeerRequest
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch

/**
 * Shares hints about the machines' image caches. The leader sends them to its followers, so that the next leader can place tasks
 * on machines that have their images cached. Hints are sent in coroutines of [scope].
 */
internal class ImageCacheHintSharing(
    private val peers: List<Peer>,
    private val client: PeerClient,
    private val processingTimes: ProcessingTimes,
    private val timeoutMs: Long,
    private val scope: CoroutineScope,
) {
    private val received = HashMap<MachineId, ImageCache>()

    /** Stores hints that a leader sent. */
    fun record(hints: PeerRequest.ImageCacheHints) {
        if (received.size > MAX_MACHINES) received.clear()
        received += hints.toImageCaches()
    }

    /** A copy of the hints that leaders have sent to this controller. */
    fun snapshot(): Map<MachineId, ImageCache> = HashMap(received)

    /** Sends the hints to all peers in several messages, so that other work can run on this event loop in between. */
    fun share(images: Map<MachineId, ImageCache>) {
        scope.launch {
            for (part in PeerRequest.ImageCacheHints.of(images)) {
                val encoded = processingTimes.measure(ProcessingStage.IMAGE_HINTS_ENCODING) { PeerCodec.encode(part) }
                peers.map { peer -> launch { client.request(peer.address, encoded, timeoutMs) } }.joinAll()
            }
        }
    }

    private companion object {
        /**
         * The map is cleared when it exceeds this size, because hints about terminated machines aren't removed. The leader's next
         * messages restore those about existing machines.
         */
        const val MAX_MACHINES = 10_000
    }
}
