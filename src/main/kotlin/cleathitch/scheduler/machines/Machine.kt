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
 * The leader's view of a rented machine, learned in this term from heartbeats, the cloud provider's machine lists and probes.
 * Owned by [Inventory]; confined to the leader's event loop.
 */
class Machine(val id: MachineId, val offer: Offer, type: MachineType?, val rentedAtMs: Long) {
    /** Null until the cloud provider has listed the machine types; the machine's first heartbeat may arrive earlier. */
    var type: MachineType? = type
        internal set

    var state = MachineState.STARTING
        private set

    /** Destination of commands and probes, null while unknown. */
    var address: String? = null
        private set

    /** Incarnation of the worker in the newest heartbeat; together with [sequenceNumber] it identifies stale heartbeats. */
    var incarnation = 0L
        private set

    /** The newest sequence number in the current incarnation. */
    private var sequenceNumber = 0L

    /** The highest fencing token that the worker has reported; it rejects commands with a lower one. */
    var highestSeenToken = FencingToken.NONE
        private set

    /** Time of the last heartbeat or probe response from the machine, null if there was none in this term. */
    var lastContactMs: Long? = null
        private set

    /** Time of the last heartbeat that could be answered, null if there was none in this term. */
    var lastHeartbeatMs: Long? = null
        private set

    /** Time from which heartbeats of the machine are expected. */
    var expectedSinceMs = 0L
        private set

    /** The token of the leader's last reply to the machine. */
    var lastReplyToken = FencingToken.NONE
        private set

    /** Number of consecutive replies that, according to its heartbeats, the machine didn't receive. */
    var missedReplies = 0
        private set

    /** Whether heartbeats arrive from the machine but the leader's replies don't reach it. */
    val missesReplies: Boolean get() = missedReplies >= MISSED_REPLIES_LIMIT

    /**
     * Whether the machine is known to exist: it was rented in this term, has reported a token of this term or has answered a
     * probe. The first heartbeat that a new leader receives is no proof, as it may be a delayed duplicate from a machine that
     * was terminated long ago.
     */
    var isExistenceConfirmed = false
        private set

    /** Number of probes sent since the last contact. */
    var unansweredProbes = 0
        private set

    /** Time at which the last probe was sent, 0 if none was. */
    var lastProbeMs = 0L
        private set

    /** Upper bound on the end of the worker's lease: until then its tasks may run even without further contact. */
    var leaseEndMs = 0L
        private set

    /** When the cloud provider will reclaim the machine, null unless it has given a preemption notice. */
    var preemptionAtMs: Long? = null
        private set

    /** Status of the tasks in the newest heartbeat. */
    var reportedTasks: List<TaskStatus> = emptyList()
        private set

    /** Time since which no task has been placed or run on the machine. */
    var idleSinceMs: Long = rentedAtMs
        private set

    /** Number of tasks that failed on the machine with an error; placement prefers machines with fewer of them. */
    var taskFailures = 0
        private set

    /** Whether the cloud provider lists the machine as running. */
    var isListedRunning = false
        private set

    /** No task is placed on the machine before this time, because the worker has rejected one for lack of resources. */
    var fullUntilMs = 0L
        private set

    /** Sizes in GB of the images cached on the machine, least recently used first; mirrors the worker's own LRU eviction. */
    private val images = LinkedHashMap<String, Double>()

    /** Whether the heartbeat is a duplicate of the newest recorded one, or older. */
    fun isStale(heartbeat: Heartbeat): Boolean = heartbeat.incarnation < incarnation ||
        (heartbeat.incarnation == incarnation && heartbeat.sequenceNumber <= sequenceNumber)

    /** Reconstructs the full heartbeat from [unchanged]; null if the newest recorded heartbeat isn't its base. */
    fun toFullHeartbeat(unchanged: ForwardedHeartbeat.Unchanged): Heartbeat? {
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

    /** Records the contents of a heartbeat that isn't stale. A new incarnation starts with an empty image cache. */
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

    /** Records a heartbeat that is about to be answered. A token older than that of the last reply shows that the reply didn't arrive. */
    fun recordAnswerableHeartbeat(heartbeat: Heartbeat, nowMs: Long) {
        lastHeartbeatMs = nowMs
        missedReplies = if (heartbeat.token < lastReplyToken) missedReplies + 1 else 0
    }

    /** Records that a heartbeat was answered with [token]. */
    fun recordReply(token: FencingToken) {
        lastReplyToken = token
    }

    /** Records that the machine is known to exist. */
    fun confirmExistence() {
        isExistenceConfirmed = true
    }

    /** Raises the upper bound on the end of the worker's lease to [untilMs], if that is later. */
    fun extendLease(untilMs: Long) {
        leaseEndMs = maxOf(leaseEndMs, untilMs)
    }

    /** Records the first heartbeat of the machine. */
    fun recordUp(nowMs: Long) {
        state = MachineState.UP
        expectedSinceMs = nowMs
        idleSinceMs = nowMs
    }

    /** Expects heartbeats from a machine that runs but has sent none yet; the failure detector suspects it if none arrive. */
    fun expectHeartbeats(nowMs: Long) {
        state = MachineState.UP
        expectedSinceMs = nowMs
    }

    /** Records that the machine is to be terminated; no more tasks are placed on it. */
    fun recordTerminationRequest() {
        state = MachineState.TERMINATING
    }

    /** Records the machine's entry in the cloud provider's list. The listed [address] is used until the first heartbeat replaces it. */
    fun recordListing(isRunning: Boolean, address: String?) {
        isListedRunning = isRunning
        if (this.address == null) this.address = address
    }

    /** Records a probe, which is counted even if it couldn't be sent because the machine's address is unknown. */
    fun recordProbe(nowMs: Long) {
        unansweredProbes++
        lastProbeMs = nowMs
    }

    /** Records that the machine is in use, which restarts its idle time. */
    fun recordUse(nowMs: Long) {
        idleSinceMs = nowMs
    }

    /** Records that a task failed on the machine with an error. */
    fun recordTaskFailure() {
        taskFailures++
    }

    /** Records that the worker has rejected a task for lack of resources; no task is placed on it before [untilMs]. */
    fun recordFull(untilMs: Long) {
        fullUntilMs = untilMs
    }

    /** Whether the image is cached on the machine, as far as the leader knows. */
    fun hasImage(image: String): Boolean = image in images

    /** Records that the image is in use now, and evicts the least recently used images beyond the cache size of the machine type. */
    fun recordImage(image: String, sizeGb: Double) {
        images.remove(image)
        images[image] = sizeGb
        val cacheGb = type?.cacheGb ?: return
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }

    /** The images cached on the machine in the current incarnation. */
    fun imageCache(): ImageCache = ImageCache(incarnation, LinkedHashMap(images))

    private companion object {
        /** A single reply may get lost or cross a heartbeat in flight; three consecutive misses indicate a fault. */
        const val MISSED_REPLIES_LIMIT = 3
    }
}
