package cleathitch.controller

import cleathitch.election.ElectionListener
import cleathitch.election.LeaderLease
import cleathitch.election.TermEndReason
import cleathitch.leader.LeaderTerm
import cleathitch.metrics.logValue
import cleathitch.peers.KnownLeader
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.model.Term
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/**
 * Tracks whether this controller is the leader, in [activeTerm], or a follower of [leader]. Owns the coroutine of the active
 * term. Confined to the controller's event loop, except for the [ElectionListener] methods, which are called on the election's loop.
 */
internal class ControllerRole(
    private val member: String,
    private val monotonicMs: () -> Long,
    private val scope: CoroutineScope,
    meterRegistry: MeterRegistry,
    private val newTerm: (LeaderLease, stepDown: (Effect.StepDown) -> Unit) -> LeaderTerm,
) : ElectionListener {
    private val elections = meterRegistry.counter("leader.elections")
    private val replays = meterRegistry.counter("leader.replays")
    private val leaderFound = CompletableDeferred<Unit>()
    private var activeTermJob: Job? = null

    /** The term in which this controller is the leader; null while it is a follower. */
    var activeTerm: LeaderTerm? = null
        private set

    /** The current leader as far as this controller knows, which may be itself; null if none is known. */
    var leader: String? = null
        private set

    /**
     * The newest term known to this controller, or the newest known revision of the key-value store at which no controller held the
     * leader key, whichever is later.
     */
    var leaderTerm = 0L
        private set

    /**
     * The time of the last evidence that another controller is the leader: a new holder of the leader key, or a message from the
     * leader. Null if there was none.
     */
    var lastLeaderContactMs: Long? = null
        private set

    init {
        meterRegistry.gauge("leader.term", this) { (it.activeTerm?.revision ?: 0).toDouble() }
    }

    /** The leader to which requests are forwarded; null if none is known or if this controller is the leader. */
    fun knownLeader(): KnownLeader? = leader?.takeIf { activeTerm == null && it != member }?.let { KnownLeader(it, leaderTerm) }

    /** Suspends until another controller holds the leader key or this one is ready as leader, for at most [timeoutMs]. */
    suspend fun awaitLeader(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { leaderFound.await() }
    }

    // The election runs on its own event loop; its results are handled on the controller's.
    override fun onElected(lease: LeaderLease) = post { startTerm(lease) }
    override fun onTermEnded(lease: LeaderLease, reason: TermEndReason) = post { stepDown(lease.term, reason.toString()) }
    override fun onLeaderObserved(member: String?, term: Long) = post { updateObservedLeader(member, term) }

    private fun post(action: () -> Unit) {
        scope.launch { action() }
    }

    private fun startTerm(lease: LeaderLease) {
        val term = lease.term
        log.info("term={} event=elected holder={}", term.revision, member)
        elections.increment()
        val elected = newTerm(lease) { stepDown(term, it.reason, it.transferLeadership) }
        activeTerm = elected
        leader = member
        leaderTerm = term.revision
        activeTermJob = scope.launch { elected.run(::onRecovered) }
    }

    private fun onRecovered() {
        replays.increment()
        leaderFound.complete(Unit)
    }

    /** Ends the active term if it is [term]. With [transferLeadership], the next election is left to other controllers. */
    fun stepDown(term: Term, reason: String, transferLeadership: Boolean = false) {
        val ended = activeTerm ?: return
        if (ended.term != term) return
        log.info(
            "term={} event=stepped_down reason={} after_ms={} {}",
            term.revision,
            logValue(reason),
            monotonicMs() - ended.electedAtMs,
            ended.describePhase(),
        )
        activeTerm = null
        if (leader == member) leader = null
        activeTermJob?.cancel()
        ended.end()
        ended.lease.resign(reason, transferLeadership)
    }

    /** Ends the active term if it is older than [term], which the member [from] reported. */
    fun stepDownIfOlderThan(term: Long, from: String) {
        val active = activeTerm ?: return
        if (active.revision < term) stepDown(active.term, "newer_term: $from knows $term")
    }

    /** Records [member] as the current holder of the leader key; null if nobody holds it. */
    private fun updateObservedLeader(member: String?, term: Long) {
        if (activeTerm != null || term < leaderTerm) return
        if (member != leader) {
            log.info("event=leader_changed leader={} term={} source=key", member ?: "none", term)
            // A new leader announces itself only after its log replay; until then it is assumed to be alive.
            if (member != null) lastLeaderContactMs = monotonicMs()
        }
        leader = member
        leaderTerm = term
        if (member != null) leaderFound.complete(Unit)
    }

    /** Handles evidence that [from] is the leader of [term]: its announcement, its command, or its answer to a batch. */
    fun onLeaderAnnouncement(from: String, term: Long) {
        if (term < leaderTerm) return
        activeTerm?.let { if (it.revision < term) stepDown(it.term, "newer_term: $from leads $term") }
        if (activeTerm != null) return
        if (leader != from) log.info("event=leader_changed leader={} term={} source=announcement", from, term)
        leader = from
        leaderTerm = term
        lastLeaderContactMs = monotonicMs()
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.controller")
    }
}
