package cleathitch.scheduler.machines

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.TaskStatus

/** A machine that is ours, as far as anyone has shown. */
class Machine(val id: MachineId, val offer: Offer, type: MachineType?, val rentedAtMs: Long) {
    /** Null until the cloud has told the types; a machine may well report before that. */
    var type: MachineType? = type
        internal set

    var address: String? = null
    var state = MachineState.STARTING
    var incarnation = 0L
    var sequenceNumber = 0L
    var token = FencingToken.NONE

    /** When it was last heard of in any way, and when its last report that we could answer came. */
    var lastHeardMs: Long? = null
    var lastReportMs: Long? = null

    /** The version of our last answer to it, and how many answers in a row its reports show it didn't get. */
    var answered = FencingToken.NONE
    var missedReplies = 0
    val missesReplies get() = missedReplies >= DEAF_ANSWERS

    /**
     * It surely lives: rented in this term, or it has shown a version of this term. The first that a new
     * leader hears of a machine may be a late copy of a report, and the machine long gone.
     */
    var confirmed = false

    /** Direct questions since it was last heard of, and when the last was asked. */
    var probes = 0
    var probedMs = 0L

    /** Until then its tasks may run even if it is never heard of again. */
    var leaseEndMs = 0L
    var preemptionAtMs: Long? = null
    var reported: List<TaskStatus> = emptyList()
    var idleSinceMs: Long = rentedAtMs
    var faults = 0
    var listedRunning = false

    /** When the cloud's list, and not a report, told that it runs: it is missed from then on. */
    var missedSinceMs = 0L

    /** Since when nothing more is to be placed here, as a refusal showed less room than reckoned. */
    var fullUntilMs = 0L

    /** Images seen here, in the order of their last use; the machine drops the oldest by itself. */
    private val images = LinkedHashMap<String, Double>()

    fun hasImage(image: String) = image in images

    fun recordImage(image: String, sizeGb: Double) {
        images.remove(image)
        images[image] = sizeGb
        val cache = type?.cacheGb ?: return
        while (images.size > 1 && images.values.sum() > cache) images.remove(images.keys.first())
    }

    fun forgetImages() = images.clear()
    fun imageCache() = ImageCache(incarnation, LinkedHashMap(images))

    /** The report that a [heartbeat] stands for, or null if the last report heard from the machine isn't its base. */
    fun repeatedBy(heartbeat: ForwardedHeartbeat.Unchanged): Heartbeat? {
        val address = address ?: return null
        if (lastHeardMs == null || incarnation != heartbeat.incarnation || sequenceNumber != heartbeat.baseSequenceNumber) return null
        return Heartbeat(
            id, address, offer.type, offer.zone, offer.spot,
            heartbeat.incarnation, heartbeat.sequenceNumber, heartbeat.token, heartbeat.preemptionNoticeS, reported,
        )
    }

    fun newerThan(report: Heartbeat) =
        report.incarnation < incarnation || (report.incarnation == incarnation && report.sequenceNumber <= sequenceNumber)

    private companion object {
        /** One answer is lost now and then, and a report may cross an answer; three in a row are no accident. */
        const val DEAF_ANSWERS = 3
    }
}
