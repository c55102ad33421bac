package cleathitch.scheduler.machines

import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.TaskStatus

/**
 * A machine that is rented as far as is known: what its heartbeats, the cloud's lists and our probes have shown of it in this
 * term. Owned by [Inventory]; confined to the leader's event loop.
 */
class Machine(val id: MachineId, val offer: Offer, type: MachineType?, val rentedAtMs: Long) {
    /** Null until the cloud has listed the machine types; its first heartbeat may arrive before that. */
    var type: MachineType? = type
        internal set

    var state = MachineState.STARTING
        private set

    /** Where commands and probes are sent, null while unknown. */
    var address: String? = null
        private set

    /** The worker's incarnation and the newest sequence number in it, by which stale heartbeats are recognized. */
    var incarnation = 0L
        private set
    private var sequenceNumber = 0L

    /** The highest fencing token that the worker has shown: it accepts no command under a lower one. */
    var highestSeenToken = FencingToken.NONE
        private set

    /** When the machine last showed itself, by a heartbeat or the answer to a probe; null if it didn't in this term. */
    var lastContactMs: Long? = null
        private set

    /** When the last heartbeat came that we could answer; null if none did in this term. */
    var lastHeartbeatMs: Long? = null
        private set

    /** From then on heartbeats of the machine are expected. */
    var expectedSinceMs = 0L
        private set

    /** The token of our last reply to the machine. */
    var lastReplyToken = FencingToken.NONE
        private set

    /** How many replies in a row the machine's heartbeats show it didn't get. */
    var missedReplies = 0
        private set

    /** Whether heartbeats arrive from the machine while our replies don't reach it. */
    val missesReplies: Boolean get() = missedReplies >= MISSED_REPLIES_LIMIT

    /**
     * Whether the machine surely exists: it was rented in this term, or has shown a token of this term. The first heartbeat
     * that a new leader gets may be a late copy, of a machine terminated long ago.
     */
    var isConfirmed = false
        private set

    /** Probes sent since the machine last showed itself, and when the last was sent. */
    var unansweredProbes = 0
        private set
    var lastProbeMs = 0L
        private set

    /** Until then the machine's tasks may run even if it never shows itself again. */
    var leaseEndMs = 0L
        private set

    /** When the cloud takes the machine back, null unless it has given notice. */
    var preemptionAtMs: Long? = null
        private set

    /** The tasks that the newest heartbeat lists. */
    var reportedTasks: List<TaskStatus> = emptyList()
        private set

    /** Since when nothing has been placed or run here. */
    var idleSinceMs: Long = rentedAtMs
        private set

    /** How many tasks have failed here by themselves: the more, the less work is placed here. */
    var taskFailures = 0
        private set

    /** Whether the cloud's list shows the machine running. */
    var isListedRunning = false
        private set

    /** Until then nothing more is placed here, as the worker has refused a task for lack of room. */
    var fullUntilMs = 0L
        private set

    /** Images cached here with their sizes in GB, by last use; the worker evicts the least recently used by itself. */
    private val images = LinkedHashMap<String, Double>()

    /** Whether the heartbeat is older than one already taken in, or a copy of it. */
    fun isStale(heartbeat: Heartbeat): Boolean = heartbeat.incarnation < incarnation ||
        (heartbeat.incarnation == incarnation && heartbeat.sequenceNumber <= sequenceNumber)

    /** The heartbeat that [unchanged] stands for, or null if the newest heartbeat taken in isn't its base. */
    fun expand(unchanged: ForwardedHeartbeat.Unchanged): Heartbeat? {
        val address = address ?: return null
        val isBase = incarnation == unchanged.incarnation && sequenceNumber == unchanged.baseSequenceNumber
        if (lastContactMs == null || !isBase) return null
        return Heartbeat(
            id,
            address,
            offer.type,
            offer.zone,
            offer.spot,
            unchanged.incarnation,
            unchanged.sequenceNumber,
            unchanged.token,
            unchanged.preemptionNoticeS,
            reportedTasks,
        )
    }

    /** Takes over what a heartbeat shows that isn't stale. A new incarnation begins with an empty image cache. */
    fun recordHeartbeat(heartbeat: Heartbeat, nowMs: Long) {
        if (heartbeat.incarnation > incarnation) images.clear()
        address = heartbeat.address
        incarnation = heartbeat.incarnation
        sequenceNumber = heartbeat.sequenceNumber
        highestSeenToken = maxOf(highestSeenToken, heartbeat.token)
        lastContactMs = nowMs
        unansweredProbes = 0
        preemptionAtMs = heartbeat.preemptionNoticeS?.let { nowMs + (it * 1000).toLong() }
        reportedTasks = heartbeat.tasks
    }

    /** The heartbeat is about to be answered. It shows the token of our last reply, unless that didn't reach the machine. */
    fun recordAnswerableHeartbeat(heartbeat: Heartbeat, nowMs: Long) {
        lastHeartbeatMs = nowMs
        missedReplies = if (heartbeat.token < lastReplyToken) missedReplies + 1 else 0
    }

    /** We have answered a heartbeat under [token]. */
    fun recordReply(token: FencingToken) {
        lastReplyToken = token
    }

    /** The machine surely exists. */
    fun confirm() {
        isConfirmed = true
    }

    /** The worker's lease may run until [untilMs]. */
    fun extendLease(untilMs: Long) {
        leaseEndMs = maxOf(leaseEndMs, untilMs)
    }

    /** The machine has reported for the first time. */
    fun recordUp(nowMs: Long) {
        state = MachineState.UP
        expectedSinceMs = nowMs
        idleSinceMs = nowMs
    }

    /** The machine runs but hasn't reported: from now on it is expected to, and suspected if it doesn't. */
    fun expectHeartbeats(nowMs: Long) {
        state = MachineState.UP
        expectedSinceMs = nowMs
    }

    /** The machine is to be terminated: nothing is placed here any more. */
    fun recordTerminationRequest() {
        state = MachineState.TERMINATING
    }

    /** The cloud lists the machine; its [address] counts until a heartbeat gives the worker's own. */
    fun recordListing(isRunning: Boolean, address: String?) {
        isListedRunning = isRunning
        if (this.address == null) this.address = address
    }

    /** A probe was sent, or would have been if the machine's address were known. */
    fun recordProbe(nowMs: Long) {
        unansweredProbes++
        lastProbeMs = nowMs
    }

    /** The machine is in use up to now. */
    fun recordUse(nowMs: Long) {
        idleSinceMs = nowMs
    }

    /** A task has failed here by itself. */
    fun recordTaskFailure() {
        taskFailures++
    }

    /** The worker has refused a task for lack of room. */
    fun recordFull(untilMs: Long) {
        fullUntilMs = untilMs
    }

    /** Whether the image is cached here, as far as is known. */
    fun hasImage(image: String): Boolean = image in images

    /** The image was used here just now; the least recently used ones are evicted for it. */
    fun recordImage(image: String, sizeGb: Double) {
        images.remove(image)
        images[image] = sizeGb
        val cacheGb = type?.cacheGb ?: return
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }

    /** The images cached in the current incarnation. */
    fun imageCache(): ImageCache = ImageCache(incarnation, LinkedHashMap(images))

    private companion object {
        /** A reply is lost now and then, and a heartbeat may cross a reply; three in a row aren't an accident. */
        const val MISSED_REPLIES_LIMIT = 3
    }
}
