package cleathitch.scheduler.simulation

import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.Term
import cleathitch.storage.LogCodec

/** A state service in simulated time: the leader's key under its lease, the head, and what is stored. */
class SimulatedKeyValueStore<N : Any>(private val ttlMs: Long, private val nowMs: () -> Long) {
    private val cells = StoredEntries()
    private var revision = 0L
    private var leaderTerm: Long? = null
    private var leaseEndMs = 0L
    private var outUntilMs = 0L

    var headRevision = 0L
        private set

    /** Who holds the leader's key. */
    var leader: N? = null
        private set

    val isOut get() = nowMs() < outUntilMs
    val isLeaderless get() = leaderTerm == null

    /** Out for everybody; leases have their full time after that. */
    fun outage(forMs: Long) {
        outUntilMs = maxOf(outUntilMs, nowMs() + forMs)
        leaseEndMs = outUntilMs + ttlMs
    }

    fun endOutage() {
        outUntilMs = minOf(outUntilMs, nowMs())
        leaseEndMs = minOf(leaseEndMs, nowMs() + ttlMs)
    }

    /** The leader's key goes with its lease. */
    fun expireLease() {
        if (isOut || leaderTerm == null || nowMs() < leaseEndMs) return
        leaderTerm = null
        leader = null
        revision++
    }

    /** The term of [node], which takes the leader's key. */
    fun elect(node: N): Long {
        revision++
        leaderTerm = revision
        leader = node
        leaseEndMs = nowMs() + ttlMs
        return revision
    }

    /** False if [term] doesn't hold the leader's key any more. */
    fun renew(term: Long): Boolean {
        expireLease()
        if (leaderTerm != term) return false
        leaseEndMs = nowMs() + ttlMs
        return true
    }

    /** The revision at which [commit] was carried out, now or by an earlier copy of it; null if it was refused. */
    fun transact(term: Long, head: Long, commit: Commit): Long? {
        expireLease()
        if (leaderTerm == term && headRevision == head) {
            revision++
            cells.apply(commit.changes)
            headRevision = revision
        }
        return headRevision.takeIf { cells.head == StoredValue.Head(commit.index, Term(term)) }
    }

    /** Through the real codec, as a new leader would read it. */
    fun snapshot(): RecoveredState = LogCodec.recoveredState(cells.entries(headRevision))
}
