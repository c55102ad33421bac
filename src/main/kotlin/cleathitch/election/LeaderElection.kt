package cleathitch.election

import cleathitch.http.ServiceResult
import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.Term
import cleathitch.storage.CompareAndSwapResult
import cleathitch.storage.KeyValueStoreClient
import cleathitch.storage.LeaseRenewal
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Leader election through a key of the key-value store that is held under a lease: campaigns while nobody holds the key, renews
 * the lease while this controller leads, and watches the key otherwise.
 *
 * [run] has an event loop of its own: behind the heartbeats of a large fleet, renewals would come too late while the process is
 * still slow after its start. All times are readings of the steady clock. A lease counts from before the request that granted or
 * renewed it was sent, less what two clocks may drift apart, so that it is never assumed to be held longer than the store holds it.
 *
 * @param incarnation distinguishes this process from earlier ones of the same [member]
 * @param ttlMs how long a lease lasts without renewal
 */
class LeaderElection(
    private val store: KeyValueStoreClient,
    private val member: String,
    private val incarnation: String,
    private val ttlMs: Long,
    private val leaderKey: String,
    private val steadyMs: () -> Long,
) {
    /** After a transfer of leadership, no campaign before this time. */
    private var noCampaignBeforeMs = 0L
    private var lastLedTerm = 0L

    /** Takes part in elections until it is cancelled, and reports to [listener]. */
    suspend fun run(listener: ElectionListener): Nothing {
        while (true) {
            when (val read = store.list(leaderKey, null)) {
                is ServiceResult.Success -> onLeaderKeyRead(read.value, listener)
                is ServiceResult.Failure -> pause()
            }
        }
    }

    private suspend fun onLeaderKeyRead(page: KeyValueStoreProtocol.Page, listener: ElectionListener) {
        val entry = page.entries.firstOrNull { it.key == leaderKey }
        val leader = entry?.let(LeaderRecord::decode)
        when {
            entry == null -> onLeaderMissing(page.revision, listener)
            leader?.incarnation == incarnation && entry.revision != lastLedTerm -> resumeTerm(entry, leader, listener)
            leader?.member == member -> revokeFormerLease(entry, leader)
            else -> {
                listener.onLeaderObserved(leader?.member, entry.revision)
                awaitChange(page.revision)
            }
        }
    }

    private suspend fun awaitChange(since: Long) {
        if (store.watch(leaderKey, since, WATCH_LEASES * ttlMs) is ServiceResult.Failure) pause()
    }

    private suspend fun onLeaderMissing(revision: Long, listener: ElectionListener) {
        listener.onLeaderObserved(null, revision)
        if (steadyMs() < noCampaignBeforeMs) pause() else campaign(listener)
    }

    /**
     * Leads a term that was won by a compare-and-swap whose response was lost. How much of its lease is left isn't known, and may
     * be nothing if the process was paused: it counts from a renewal, not from when the key was read.
     */
    private suspend fun resumeTerm(entry: KeyValueStoreProtocol.Entry, leader: LeaderRecord, listener: ElectionListener) {
        val sentAtMs = steadyMs()
        when (store.renewLease(leader.lease)) {
            LeaseRenewal.Renewed -> lead(listener, Term(entry.revision), leader.lease, sentAtMs)
            LeaseRenewal.Expired, is LeaseRenewal.Unknown -> pause()
        }
    }

    /**
     * Revokes the lease of an earlier process of this member, or of a term that this process gave up, without waiting for its
     * expiry. A term isn't led twice, because its request names and fencing tokens count up from its start.
     */
    private suspend fun revokeFormerLease(entry: KeyValueStoreProtocol.Entry, leader: LeaderRecord) {
        log.info("term={} event=former_lease_revoked", entry.revision)
        if (!store.revokeLease(leader.lease)) pause()
    }

    private suspend fun pause() = delay(ttlMs / PAUSES_PER_LEASE)

    private suspend fun campaign(listener: ElectionListener) {
        val sentAtMs = steadyMs()
        val lease = when (val granted = store.grantLease(ttlMs)) {
            is ServiceResult.Success -> granted.value
            is ServiceResult.Failure -> return pause()
        }
        when (val result = claimLeaderKey(lease)) {
            is CompareAndSwapResult.Applied -> lead(listener, Term(result.revision), lease, sentAtMs)
            is CompareAndSwapResult.Refused, CompareAndSwapResult.LeaseNotFound -> store.revokeLease(lease)
            // The next read of the key shows whether this controller holds it.
            is CompareAndSwapResult.Unavailable, is CompareAndSwapResult.Unknown -> pause()
        }
    }

    private suspend fun claimLeaderKey(lease: Long): CompareAndSwapResult {
        val record = LeaderRecord(member, incarnation, lease).encode()
        val put = KeyValueStoreProtocol.Write.Put(leaderKey, record, lease)
        return store.compareAndSwap(mapOf(leaderKey to KEY_ABSENT), listOf(put))
    }

    /** Leads [term] under the lease [leaseId] until the term is over. */
    private suspend fun lead(listener: ElectionListener, term: Term, leaseId: Long, renewalSentAtMs: Long) {
        lastLedTerm = term.revision
        val lease = LeaderLease(term, validUntilMs(renewalSentAtMs), electedAtMs = steadyMs())
        listener.onElected(lease)
        while (true) {
            delay(ttlMs / RENEWALS_PER_LEASE)
            if (endedByResignation(lease, leaseId, listener)) return
            if (endedByStall(lease, listener)) return
            if (endedByExpiry(lease, leaseId, listener)) return
        }
    }

    private suspend fun endedByResignation(lease: LeaderLease, leaseId: Long, listener: ElectionListener): Boolean {
        val resignation = lease.resignation ?: return false
        if (resignation.transferLeadership) noCampaignBeforeMs = steadyMs() + ttlMs * TRANSFER_LEASES
        listener.onDeposed(lease, TermEndReason.Resigned(resignation.reason))
        store.revokeLease(leaseId)
        return true
    }

    /**
     * Ends the term of a leader whose event loop makes no progress. The lease isn't revoked but expires: the stalled loop may be in
     * the middle of an answer, and relies on the lease for as long as its clock says that it is valid.
     */
    private suspend fun endedByStall(lease: LeaderLease, listener: ElectionListener): Boolean {
        if (steadyMs() - lease.lastProgressMs <= ttlMs * STALLED_LEASES) return false
        listener.onDeposed(lease, TermEndReason.Stalled)
        delay(ttlMs)
        return true
    }

    /** Renews the lease, and ends the term if the store doesn't know it any more. */
    private suspend fun endedByExpiry(lease: LeaderLease, leaseId: Long, listener: ElectionListener): Boolean {
        val sentAtMs = steadyMs()
        when (val renewal = store.renewLease(leaseId)) {
            LeaseRenewal.Renewed -> lease.recordRenewal(validUntilMs(sentAtMs))
            LeaseRenewal.Expired -> {
                listener.onDeposed(lease, TermEndReason.LeaseExpired)
                return true
            }
            is LeaseRenewal.Unknown -> if (steadyMs() > lease.validUntilMs) {
                log.info("term={} event=lease_renewal_unknown failure=\"{}\"", lease.term.revision, renewal.failure)
            }
        }
        return false
    }

    private fun validUntilMs(renewalSentAtMs: Long): Long {
        val driftMs = (ttlMs * SchedulerTimings.MAX_CLOCK_DRIFT).toLong()
        return renewalSentAtMs + ttlMs - driftMs - 1
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")

        /** The revision that stands for a key that doesn't exist. */
        const val KEY_ABSENT = 0L

        const val RENEWALS_PER_LEASE = 4

        /** How often the key is read in a lease's time while nothing else can be done. */
        const val PAUSES_PER_LEASE = 8

        /**
         * For how many lease times this controller stays out of elections after a transfer of leadership. An election takes far
         * less; if nobody else has won by then, this controller may lead again.
         */
        const val TRANSFER_LEASES = 4

        /** A leader without progress for so many lease times gives up, though its lease could be kept. */
        const val STALLED_LEASES = 4

        /** How many lease times a watch stays open. */
        const val WATCH_LEASES = 4L
    }
}
