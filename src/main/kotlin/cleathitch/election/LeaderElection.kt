package cleathitch.election

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.MessageCodec
import cleathitch.protocol.text
import cleathitch.protocol.whole
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.model.Term
import cleathitch.storage.CompareAndSwapResult
import cleathitch.storage.KeyValueStoreClient
import cleathitch.storage.LeaseRenewal
import cleathitch.storage.StoreRead
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Holds the leader's key under a lease while it can, and watches it otherwise. It runs on a loop of its own:
 * behind the reports of a large fleet, a leader whose code was still cold lost its lease again and again.
 *
 * Times are by the steady clock, and a lease is reckoned from before the request that renewed it was
 * sent, less what two clocks may drift apart: what is held here is surely held there.
 */
class LeaderElection(
    private val state: KeyValueStoreClient,
    private val member: String,
    private val incarnation: String,
    private val ttlMs: Long,
    private val leaderKey: String,
    private val steadyMs: () -> Long,
) {
    private var holdBackUntilMs = 0L
    private var lastLedTerm = 0L

    suspend fun run(listener: ElectionListener): Nothing {
        while (true) {
            when (val read = state.list(leaderKey, null)) {
                is StoreRead.Value -> act(read.value, listener)
                is StoreRead.Failed -> pause()
            }
        }
    }

    /** Does what follows from who holds the leader's key, as [page] shows it. */
    private suspend fun act(page: KeyValueStoreProtocol.Page, listener: ElectionListener) {
        val entry = page.entries.firstOrNull { it.key == leaderKey }
        val holder = entry?.let(Holder::of)
        when {
            entry == null -> leaderMissing(page.revision, listener)
            holder?.incarnation == incarnation && entry.revision != lastLedTerm -> resume(entry, holder, listener)
            holder?.member == member -> releaseFormerTerm(entry, holder)
            else -> {
                listener.leaderIs(holder?.member, entry.revision)
                if (state.follow(leaderKey, page.revision, WATCH_LEASES * ttlMs) is StoreRead.Failed) pause()
            }
        }
    }

    private suspend fun leaderMissing(revision: Long, listener: ElectionListener) {
        listener.leaderIs(null, revision)
        if (steadyMs() < holdBackUntilMs) pause() else compete(listener)
    }

    /**
     * Leads a term that was won by a transaction whose answer was lost. What is left of its lease isn't known, and after
     * a pause of the process it may be nothing: it counts from a renewal, not from the look at the key.
     */
    private suspend fun resume(entry: KeyValueStoreProtocol.Entry, holder: Holder, listener: ElectionListener) {
        val sentMs = steadyMs()
        if (state.extend(holder.lease) == LeaseRenewal.Held) lead(listener, Term(entry.revision), holder.lease, sentMs) else pause()
    }

    /**
     * Ends a lease of a process whose successor this one is, or of a term that this process gave up, without waiting for
     * the lease's end. A term is led once, as its names and versions count up from one.
     */
    private suspend fun releaseFormerTerm(entry: KeyValueStoreProtocol.Entry, holder: Holder) {
        log.info("releasing the lease of term {}", entry.revision)
        if (!state.release(holder.lease)) pause()
    }

    private suspend fun pause() = delay(ttlMs / PAUSES_PER_LEASE)

    private suspend fun compete(listener: ElectionListener) {
        val asked = steadyMs()
        val lease = when (val read = state.hold(ttlMs)) {
            is StoreRead.Value -> read.value
            is StoreRead.Failed -> return pause()
        }
        val value = MessageCodec.newMap().put("member", member).put("incarnation", incarnation).put("lease", lease)
        when (val result = state.transaction(mapOf(leaderKey to 0L), listOf(KeyValueStoreProtocol.Write.Put(leaderKey, value, lease)))) {
            is CompareAndSwapResult.Applied -> lead(listener, Term(result.revision), lease, asked)
            is CompareAndSwapResult.Refused, CompareAndSwapResult.LeaseNotFound -> state.release(lease)
            // The next look at the key shows whether we have it.
            is CompareAndSwapResult.Unavailable, is CompareAndSwapResult.Unknown -> pause()
        }
    }

    private suspend fun lead(listener: ElectionListener, term: Term, hold: Long, renewedMs: Long) {
        lastLedTerm = term.revision
        val lease = LeaderLease(term, heldUntil(renewedMs), steadyMs())
        listener.elected(lease)
        while (true) {
            delay(ttlMs / RENEWALS_PER_LEASE)
            if (givenUp(lease, hold, listener) || !renewed(lease, hold, listener)) return
        }
    }

    /** True if the term is over because its own side has given it up, or has stopped working. */
    private suspend fun givenUp(lease: LeaderLease, hold: Long, listener: ElectionListener): Boolean {
        val resignation = lease.resignation
        if (resignation != null) {
            if (resignation.transferLeadership) holdBackUntilMs = steadyMs() + ttlMs * TRANSFER_LEASES
            listener.deposed(lease, resignation.reason)
            state.release(hold)
            return true
        }
        if (steadyMs() - lease.workedMs <= ttlMs * STUCK_LEASES) return false
        // It runs out and isn't released: whoever does the work may be in the middle of an answer, and goes by the clock.
        listener.deposed(lease, "nothing gets on here")
        delay(ttlMs)
        return true
    }

    /** False if the lease is surely gone. */
    private suspend fun renewed(lease: LeaderLease, hold: Long, listener: ElectionListener): Boolean {
        val sentMs = steadyMs()
        when (val renewal = state.extend(hold)) {
            LeaseRenewal.Held -> lease.validUntilMs = heldUntil(sentMs)
            LeaseRenewal.Gone -> {
                listener.deposed(lease, "the lease ran out")
                return false
            }
            is LeaseRenewal.Unknown -> if (steadyMs() > lease.validUntilMs) {
                log.info("term {}: the lease may have run out: {}", lease.term.revision, renewal.failure)
            }
        }
        return true
    }

    private fun heldUntil(renewedMs: Long) = renewedMs + ttlMs - (ttlMs * SchedulerTimings.MAX_CLOCK_DRIFT).toLong() - 1

    private class Holder(val member: String, val incarnation: String, val lease: Long) {
        companion object {
            fun of(entry: KeyValueStoreProtocol.Entry): Holder? = try {
                Holder(entry.value.text("member"), entry.value.text("incarnation"), entry.value.whole("lease"))
            } catch (_: MalformedMessageException) {
                null
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")
        const val RENEWALS_PER_LEASE = 4

        /** Between two looks at the key while nothing else can be done. */
        const val PAUSES_PER_LEASE = 8

        /** An election takes far less; if nobody else has won it by then, we may lead again. */
        const val TRANSFER_LEASES = 4

        /** A leader whose own loop stands still for as long gives up, though its lease could be kept. */
        const val STUCK_LEASES = 4

        /** How long a watch hangs, in leases. */
        const val WATCH_LEASES = 4L
    }
}
