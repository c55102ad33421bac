package cleathitch.scheduler.simulation

import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.Term
import cleathitch.storage.LogCodec

/** The key-value store in virtual time: the leader's key under its lease, the head of the log, and what is stored. */
class SimulatedKeyValueStore<N : Any>(private val leaseTtlMs: Long, private val nowMs: () -> Long) {
    private val stored = StoredEntries()
    private var revision = 0L
    private var leaderTerm: Long? = null
    private var leaseEndMs = 0L
    private var outUntilMs = 0L

    var headRevision = 0L
        private set

    /** The controller that holds the leader's key. */
    var leader: N? = null
        private set

    val isOut get() = nowMs() < outUntilMs
    val isLeaderless get() = leaderTerm == null

    /** Refuses everybody for [forMs]; leases have their full time after that. */
    fun outage(forMs: Long) {
        outUntilMs = maxOf(outUntilMs, nowMs() + forMs)
        leaseEndMs = outUntilMs + leaseTtlMs
    }

    fun endOutage() {
        outUntilMs = minOf(outUntilMs, nowMs())
        leaseEndMs = minOf(leaseEndMs, nowMs() + leaseTtlMs)
    }

    /** Deletes the leader's key if its lease has expired; an outage delays that. */
    fun expireLease() {
        if (isOut || leaderTerm == null || nowMs() < leaseEndMs) return
        leaderTerm = null
        leader = null
        revision++
    }

    /** Gives the leader's key to [candidate] and returns its term. */
    fun elect(candidate: N): Long {
        revision++
        leaderTerm = revision
        leader = candidate
        leaseEndMs = nowMs() + leaseTtlMs
        return revision
    }

    /** Renews the lease of [term]; false if it doesn't hold the leader's key any more. */
    fun renew(term: Long): Boolean {
        expireLease()
        if (leaderTerm != term) return false
        leaseEndMs = nowMs() + leaseTtlMs
        return true
    }

    /** The revision at which [commit] was carried out, now or by an earlier copy of it; null if it was refused. */
    fun compareAndSwap(term: Long, head: Long, commit: Commit): Long? {
        expireLease()
        if (leaderTerm == term && headRevision == head) {
            revision++
            stored.apply(commit.changes)
            headRevision = revision
        }
        return headRevision.takeIf { stored.head == StoredValue.Head(commit.index, Term(term)) }
    }

    /** What a new leader reads, through the real codec. */
    fun snapshot(): RecoveredState = LogCodec.recoveredState(stored.entries(headRevision))
}
