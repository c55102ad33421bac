package cleathitch.election

import cleathitch.http.ServiceResult
import cleathitch.metrics.logValue
import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.Transaction
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.Term
import cleathitch.storage.CompareAndSwapResult
import cleathitch.storage.KeyValueStoreClient
import cleathitch.storage.LeaseRenewal
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Leader election through the leader's key in the key-value store; the key is attached to a lease. If the key does not exist, this
 * controller campaigns for it. While this controller leads, it renews the lease. While another controller leads, it watches the key.
 *
 * [run] must be given a dedicated event loop. On a shared loop, renewals would queue behind the heartbeats of a large fleet. Soon
 * after the start of the process, when it is still slow, they would come too late.
 *
 * All times are readings of the monotonic clock. A lease is assumed to be valid for its time to live minus the maximum clock drift.
 * This period starts just before the request that grants or renews the lease is sent. The lease is therefore never assumed to be
 * valid after it has expired in the key-value store.
 *
 * @param incarnation distinguishes this process from earlier processes of the same [member]
 * @param ttlMs the lease's time to live, that is, how long it lasts without renewal
 * @param monotonicMs the monotonic clock, in milliseconds
 */
class LeaderElection(
    private val store: KeyValueStoreClient,
    private val member: String,
    private val incarnation: String,
    private val ttlMs: Long,
    private val leaderKey: String,
    private val monotonicMs: () -> Long,
) {
    /** No campaign starts before this time; set when leadership is handed over to another controller. */
    private var noCampaignBeforeMs = 0L

    /** The last term that this process led, which it must not lead again; see [revokeFormerLease]. */
    private var lastLedTerm = 0L

    /** Takes part in elections until cancelled, and reports their outcomes to [listener]. */
    suspend fun run(listener: ElectionListener): Nothing {
        while (true) {
            when (val read = store.list(leaderKey, null)) {
                is ServiceResult.Success -> onLeaderKeyRead(read.value, listener)
                is ServiceResult.Failure -> delayBeforeRetry()
            }
        }
    }

    private suspend fun onLeaderKeyRead(page: KeyValueStoreProtocol.Page, listener: ElectionListener) {
        val entry = page.entries.firstOrNull { it.key == leaderKey }
        val leader = entry?.let(LeaderRecord::decode)
        when {
            entry == null -> onLeaderKeyAbsent(page.revision, listener)
            leader?.incarnation == incarnation && entry.revision != lastLedTerm -> resumeTerm(entry, leader, listener)
            leader?.member == member -> revokeFormerLease(entry, leader)
            else -> {
                listener.onLeaderObserved(leader?.member, entry.revision)
                awaitChange(page.revision)
            }
        }
    }

    private suspend fun awaitChange(since: Long) {
        if (store.watch(leaderKey, since, WATCH_TIMEOUT_TTLS * ttlMs) is ServiceResult.Failure) delayBeforeRetry()
    }

    private suspend fun onLeaderKeyAbsent(revision: Long, listener: ElectionListener) {
        listener.onLeaderObserved(null, revision)
        if (monotonicMs() < noCampaignBeforeMs) delayBeforeRetry() else campaign(listener)
    }

    /**
     * Leads a term that was won by a compare-and-swap whose response was lost. The remaining time of the term's lease is unknown, and
     * the lease may have expired if the process was paused. It is therefore renewed first, and its validity is counted from that
     * renewal and not from the read.
     */
    private suspend fun resumeTerm(entry: KeyValueStoreProtocol.Entry, leader: LeaderRecord, listener: ElectionListener) {
        val sentAtMs = monotonicMs()
        when (store.renewLease(leader.lease)) {
            LeaseRenewal.Renewed -> lead(listener, Term(entry.revision), leader.lease, sentAtMs)
            LeaseRenewal.Expired, is LeaseRenewal.Unknown -> delayBeforeRetry()
        }
    }

    /**
     * Revokes the lease of an earlier process of this member, or of a term from which this process resigned, instead of waiting for
     * it to expire. A term must not be led twice: the names of rental requests and the fencing tokens are numbered from the
     * start of the term, so those of the first time would be used again.
     */
    private suspend fun revokeFormerLease(entry: KeyValueStoreProtocol.Entry, leader: LeaderRecord) {
        log.info("term={} event=former_lease_revoked", entry.revision)
        if (!store.revokeLease(leader.lease)) delayBeforeRetry()
    }

    private suspend fun delayBeforeRetry() = delay(ttlMs / RETRIES_PER_TTL)

    private suspend fun campaign(listener: ElectionListener) {
        val sentAtMs = monotonicMs()
        val lease = when (val granted = store.grantLease(ttlMs)) {
            is ServiceResult.Success -> granted.value
            is ServiceResult.Failure -> return delayBeforeRetry()
        }
        when (val result = claimLeaderKey(lease)) {
            is CompareAndSwapResult.Applied -> lead(listener, Term(result.revision), lease, sentAtMs)
            is CompareAndSwapResult.Refused, CompareAndSwapResult.LeaseNotFound -> store.revokeLease(lease)
            // The next read of the leader's key shows whether this controller holds it.
            is CompareAndSwapResult.Unavailable, is CompareAndSwapResult.Unknown -> delayBeforeRetry()
            is CompareAndSwapResult.Rejected -> {
                log.error("event=campaign_rejected reason={}", logValue(result.reason))
                delayBeforeRetry()
            }
        }
    }

    private suspend fun claimLeaderKey(lease: Long): CompareAndSwapResult {
        val record = LeaderRecord(member, incarnation, lease).encode()
        val put = KeyValueStoreProtocol.Write.Put(leaderKey, record, lease)
        return store.compareAndSwap(Transaction(mapOf(leaderKey to KEY_ABSENT), listOf(put)))
    }

    /** Leads [term] under the lease [leaseId] until the term ends. */
    private suspend fun lead(listener: ElectionListener, term: Term, leaseId: Long, renewalSentAtMs: Long) {
        lastLedTerm = term.revision
        val lease = LeaderLease(term, validUntilMs(renewalSentAtMs), electedAtMs = monotonicMs())
        listener.onElected(lease)
        while (true) {
            delay(ttlMs / RENEWALS_PER_TTL)
            if (endedByResignation(lease, leaseId, listener)) return
            if (endedByStall(lease, listener)) return
            if (endedByExpiry(lease, leaseId, listener)) return
        }
    }

    private suspend fun endedByResignation(lease: LeaderLease, leaseId: Long, listener: ElectionListener): Boolean {
        val resignation = lease.resignation ?: return false
        if (resignation.transferLeadership) noCampaignBeforeMs = monotonicMs() + ttlMs * TRANSFER_COOLDOWN_TTLS
        listener.onTermEnded(lease, TermEndReason.Resigned(resignation.reason))
        store.revokeLease(leaseId)
        return true
    }

    /**
     * Ends the term if the leader's event loop makes no progress. The lease is not revoked but left to expire, because the stalled
     * loop may still reply to users until [LeaderLease.validUntilMs], and no other controller may lead before then.
     */
    private suspend fun endedByStall(lease: LeaderLease, listener: ElectionListener): Boolean {
        if (monotonicMs() - lease.lastProgressMs <= ttlMs * STALL_TIMEOUT_TTLS) return false
        listener.onTermEnded(lease, TermEndReason.Stalled)
        delay(ttlMs)
        return true
    }

    /** Renews the lease, and ends the term if the lease no longer exists in the key-value store. */
    private suspend fun endedByExpiry(lease: LeaderLease, leaseId: Long, listener: ElectionListener): Boolean {
        val sentAtMs = monotonicMs()
        when (val renewal = store.renewLease(leaseId)) {
            LeaseRenewal.Renewed -> lease.recordRenewal(validUntilMs(sentAtMs))
            LeaseRenewal.Expired -> {
                listener.onTermEnded(lease, TermEndReason.LeaseExpired)
                return true
            }
            is LeaseRenewal.Unknown -> if (monotonicMs() > lease.validUntilMs) {
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

        /** The revision that a compare-and-swap expects of a key that does not exist. */
        const val KEY_ABSENT = 0L

        const val RENEWALS_PER_TTL = 4

        /** Number of reads of the leader's key per lease TTL, after a failed request or while campaigning is not allowed. */
        const val RETRIES_PER_TTL = 8

        /**
         * Time during which this controller does not campaign after handing over leadership, in lease TTLs. An election takes far
         * less time; if no other controller has won by then, this one may lead again.
         */
        const val TRANSFER_COOLDOWN_TTLS = 4

        /** A leader that makes no progress for this many lease TTLs loses its term, even though its lease could still be renewed. */
        const val STALL_TIMEOUT_TTLS = 4

        /** How long one watch request stays open, in lease TTLs. */
        const val WATCH_TIMEOUT_TTLS = 4L
    }
}
