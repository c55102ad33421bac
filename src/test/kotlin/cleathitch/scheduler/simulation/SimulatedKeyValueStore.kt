package cleathitch.scheduler.simulation

import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.StoreLimits
import cleathitch.scheduler.model.Term
import cleathitch.storage.LogCodec
import cleathitch.storage.TransactionLimits

/**
 * The key-value store in virtual time: the leader's key with its lease, the revision of the log's head, and the stored entries. A
 * commit that exceeds a limit fails the test.
 */
class SimulatedKeyValueStore<N : Any>(private val leaseTtlMs: Long, private val limits: StoreLimits, private val nowMs: () -> Long) {
    private val stored = StoredEntries()
    private var revision = 0L
    private var leaderTerm: Long? = null
    private var leaseEndMs = 0L
    private var unavailableUntilMs = 0L

    var headRevision = 0L
        private set

    /** The controller that holds the leader's key. */
    var leader: N? = null
        private set

    val isUnavailable get() = nowMs() < unavailableUntilMs
    val isLeaderless get() = leaderTerm == null

    /** Refuses all requests for [durationMs]. After the outage the leader's lease has its full time to live again. */
    fun startOutage(durationMs: Long) {
        unavailableUntilMs = maxOf(unavailableUntilMs, nowMs() + durationMs)
        leaseEndMs = unavailableUntilMs + leaseTtlMs
    }

    fun endOutage() {
        unavailableUntilMs = minOf(unavailableUntilMs, nowMs())
        leaseEndMs = minOf(leaseEndMs, nowMs() + leaseTtlMs)
    }

    /** Deletes the leader's key if its lease has expired. During an outage leases do not expire. */
    fun expireLease() {
        if (isUnavailable || leaderTerm == null || nowMs() < leaseEndMs) return
        leaderTerm = null
        leader = null
        revision++
    }

    /** Gives the leader's key to [candidate] and returns the new term. */
    fun elect(candidate: N): Long {
        revision++
        leaderTerm = revision
        leader = candidate
        leaseEndMs = nowMs() + leaseTtlMs
        return revision
    }

    /** Renews the lease of [term]. Returns false if [term] no longer holds the leader's key. */
    fun renew(term: Long): Boolean {
        expireLease()
        if (leaderTerm != term) return false
        leaseEndMs = nowMs() + leaseTtlMs
        return true
    }

    /**
     * Applies [commit] if [term] holds the leader's key and the revision of the log's head is [head]. Returns the revision at which
     * the commit was applied, also if an earlier duplicate of this request applied it, or null if the commit is refused.
     */
    fun compareAndSwap(term: Long, head: Long, commit: Commit): Long? {
        TransactionLimits.violation(commit, limits)?.let { throw AssertionError("commit ${commit.index}: $it") }
        expireLease()
        if (leaderTerm == term && headRevision == head) {
            revision++
            stored.apply(commit.changes)
            headRevision = revision
        }
        return headRevision.takeIf { stored.head == StoredValue.Head(commit.index, Term(term)) }
    }

    /** The state that a new leader reads, decoded by the production [LogCodec]. */
    fun snapshot(): RecoveredState = LogCodec.decodeRecoveredState(stored.entries(headRevision))
}
