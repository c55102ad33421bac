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
 * Which part this controller has: the leader in [activeTerm], or a follower of [leader]. Owns the coroutine of the active
 * term. Confined to the controller's event loop, the [ElectionListener] methods apart, which the lease's loop calls.
 */
internal class ControllerRole(
    private val member: String,
    private val steadyMs: () -> Long,
    private val scope: CoroutineScope,
    meters: MeterRegistry,
    private val newTerm: (LeaderLease, stepDown: (Effect.StepDown) -> Unit) -> LeaderTerm,
) : ElectionListener {
    private val elections = meters.counter("leader.elections")
    private val replays = meters.counter("leader.replays")
    private val leaderFound = CompletableDeferred<Unit>()
    private var activeTermJob: Job? = null

    /** The term that this controller leads; null while it follows. */
    var activeTerm: LeaderTerm? = null
        private set

    /** The member that leads as far as this controller knows, which may be itself. */
    var leader: String? = null
        private set

    /** The newest term that this controller knows of. */
    var leaderTerm = 0L
        private set

    /** When another leader last showed that it lives. */
    var leaderContactMs: Long? = null
        private set

    init {
        meters.gauge("leader.term", this) { (it.activeTerm?.revision ?: 0).toDouble() }
    }

    /** The leader to which a follower forwards requests; null while there is none, or it is this controller. */
    fun knownLeader(): KnownLeader? = leader?.takeIf { activeTerm == null && it != member }?.let { KnownLeader(it, leaderTerm) }

    /** Suspends until there is a leader that can be asked, for [timeoutMs] at most. */
    suspend fun awaitLeader(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { leaderFound.await() }
    }

    // The lease has a loop of its own; what follows from an election happens on the controller's.
    override fun onElected(lease: LeaderLease) = post { lead(lease) }
    override fun onDeposed(lease: LeaderLease, reason: TermEndReason) = post { stepDown(lease.term, reason.toString()) }
    override fun onLeaderObserved(member: String?, term: Long) = post { follow(member, term) }

    private fun post(action: () -> Unit) {
        scope.launch { action() }
    }

    private fun lead(lease: LeaderLease) {
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

    /** Ends the active term if it is [term]; [transferLeadership] leaves the next one to other controllers. */
    fun stepDown(term: Term, reason: String, transferLeadership: Boolean = false) {
        val ended = activeTerm ?: return
        if (ended.term != term) return
        log.info(
            "term={} event=stepped_down reason={} after_ms={} {}",
            term.revision,
            logValue(reason),
            steadyMs() - ended.electedAtMs,
            ended.activity,
        )
        activeTerm = null
        if (leader == member) leader = null
        activeTermJob?.cancel()
        ended.end()
        ended.lease.resign(reason, transferLeadership)
    }

    /** Ends the active term if [from] knows a newer one. */
    fun stepDownIfOlderThan(term: Long, from: String) {
        val active = activeTerm ?: return
        if (active.revision < term) stepDown(active.term, "newer_term: $from knows $term")
    }

    /** Follows the member that holds the leader's key, or nobody. */
    private fun follow(member: String?, term: Long) {
        if (activeTerm != null || term < leaderTerm) return
        if (member != leader) {
            log.info("event=leader_changed leader={} term={} source=key", member ?: "none", term)
            // A new leader announces itself only after its replay; until then it counts as alive.
            if (member != null) leaderContactMs = steadyMs()
        }
        leader = member
        leaderTerm = term
        if (member != null) leaderFound.complete(Unit)
    }

    /** The member [from] showed that it leads in [term]: by an announcement, a command, or its answer to a batch. */
    fun onLeaderAnnouncement(from: String, term: Long) {
        if (term < leaderTerm) return
        activeTerm?.let { if (it.revision < term) stepDown(it.term, "newer_term: $from leads $term") }
        if (activeTerm != null) return
        if (leader != from) log.info("event=leader_changed leader={} term={} source=announcement", from, term)
        leader = from
        leaderTerm = term
        leaderContactMs = steadyMs()
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.controller")
    }
}
