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
 * Shares hints about the machines' image caches: the leader sends them to its followers, of which one may lead next and
 * then places tasks where their images are. Sending runs in [scope], which ends it.
 */
internal class ImageCacheHintSharing(
    private val peers: List<Peer>,
    private val client: PeerClient,
    private val processingTimes: ProcessingTimes,
    private val timeoutMs: Long,
    private val scope: CoroutineScope,
) {
    private val received = HashMap<MachineId, ImageCache>()

    /** Keeps the hints of the present leader. */
    fun record(hints: PeerRequest.ImageCacheHints) {
        if (received.size > MAX_MACHINES) received.clear()
        received += hints.toImageCaches()
    }

    /** A copy of the hints that earlier leaders have sent. */
    fun snapshot(): Map<MachineId, ImageCache> = HashMap(received)

    /** Sends the hints to all peers, part by part, so that other work on this loop gets its turn between them. */
    fun share(images: Map<MachineId, ImageCache>) {
        scope.launch {
            for (part in PeerRequest.ImageCacheHints.of(images)) {
                val encoded = processingTimes.measure(ProcessingStage.IMAGE_HINTS_ENCODING) { PeerCodec.encode(part) }
                peers.map { peer -> launch { client.ask(peer.address, encoded, timeoutMs) } }.joinAll()
            }
        }
    }

    private companion object {
        /** Machines come and go; hints about the present ones come again soon. */
        const val MAX_MACHINES = 10_000
    }
}
