package cleathitch.state

import cleathitch.core.Term
import cleathitch.core.Tuning
import cleathitch.protocol.Malformed
import cleathitch.protocol.StateWire
import cleathitch.protocol.Wire
import cleathitch.protocol.text
import cleathitch.protocol.whole
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/** Told what becomes of the leadership, on the loop that keeps the lease. */
interface LeadershipListener {
    /** We lead for as long as the lease says. */
    fun elected(lease: Lease)
    fun deposed(lease: Lease, reason: String)

    /** Who leads, and in which term; with nobody, the newest revision known. */
    fun leaderIs(member: String?, term: Long)
}

/**
 * One term's lease, as both loops see it: kept on a loop of its own, used and given up where the work is done.
 */
class Lease(val term: Term, heldUntilMs: Long, workedMs: Long) {
    /** Until then it is surely held. */
    @Volatile
    var heldUntilMs = heldUntilMs
        internal set

    /** When the leader's own loop last showed that it gets on. */
    @Volatile
    var workedMs = workedMs
        private set

    @Volatile
    internal var resignation: Resignation? = null
        private set

    internal class Resignation(val reason: String, val handOver: Boolean)

    fun worked(nowMs: Long) {
        workedMs = nowMs
    }

    /** Gives the leadership up, for instance because a newer leader was seen; a [handOver] lets others go first. */
    fun resign(reason: String, handOver: Boolean) {
        resignation = Resignation(reason, handOver)
    }
}

/**
 * Holds the leader's key under a lease while it can, and watches it otherwise. It runs on a loop of its own:
 * behind the reports of a large fleet, a leader whose code was still cold lost its lease again and again.
 *
 * Times are by the steady clock, and a lease is reckoned from before the request that renewed it was
 * sent, less what two clocks may drift apart: what is held here is surely held there.
 */
class Leadership(
    private val state: StateClient,
    private val member: String,
    private val incarnation: String,
    private val ttlMs: Long,
    private val leaderKey: String,
    private val steadyMs: () -> Long,
) {
    private var holdBackUntilMs = 0L
    private var ledLast = 0L

    suspend fun run(listener: LeadershipListener): Nothing {
        while (true) {
            val page = when (val read = state.list(leaderKey, null)) {
                is StateRead.Value -> read.value
                is StateRead.Failed -> {
                    delay(ttlMs / 8)
                    continue
                }
            }
            val entry = page.entries.firstOrNull { it.key == leaderKey }
            if (entry == null) {
                listener.leaderIs(null, page.revision)
                if (steadyMs() < holdBackUntilMs) delay(ttlMs / 8) else compete(listener)
                continue
            }
            val holder = Holder.of(entry)
            when {
                holder?.incarnation == incarnation && entry.revision != ledLast -> {
                    // Won by a transaction whose answer was lost. What is left of its lease isn't known, and after
                    // a standstill it may be nothing: it counts from a renewal, not from this look.
                    val sent = steadyMs()
                    if (state.extend(holder.lease) == Renewal.Held) {
                        lead(listener, Term(entry.revision), holder.lease, sent)
                    } else {
                        delay(ttlMs / 8)
                    }
                }
                holder?.member == member -> {
                    // The process that held it is gone, since we are its successor, or it is a term that we gave up:
                    // no need to wait for the lease's end. A term is led once, as its names and versions count up from one.
                    log.info("releasing the lease of term {}", entry.revision)
                    if (!state.release(holder.lease)) delay(ttlMs / 8)
                }
                else -> {
                    listener.leaderIs(holder?.member, entry.revision)
                    if (state.follow(leaderKey, page.revision, WATCH_LEASES * ttlMs) is StateRead.Failed) delay(ttlMs / 8)
                }
            }
        }
    }

    private suspend fun compete(listener: LeadershipListener) {
        val asked = steadyMs()
        val lease = when (val read = state.hold(ttlMs)) {
            is StateRead.Value -> read.value
            is StateRead.Failed -> return delay(ttlMs / 8)
        }
        val value = Wire.newMap().put("member", member).put("incarnation", incarnation).put("lease", lease)
        when (val result = state.transaction(mapOf(leaderKey to 0L), listOf(StateWire.Write.Put(leaderKey, value, lease)))) {
            is Txn.Done -> lead(listener, Term(result.revision), lease, asked)
            is Txn.Refused, Txn.NoLease -> state.release(lease)
            is Txn.Unavailable, is Txn.Unknown -> delay(ttlMs / 8) // the next look shows whether we have it
        }
    }

    private suspend fun lead(listener: LeadershipListener, term: Term, hold: Long, renewedMs: Long) {
        ledLast = term.revision
        val lease = Lease(term, heldUntil(renewedMs), steadyMs())
        listener.elected(lease)
        while (true) {
            delay(ttlMs / RENEWALS_PER_LEASE)
            val resignation = lease.resignation
            if (resignation != null) {
                if (resignation.handOver) holdBackUntilMs = steadyMs() + ttlMs * HAND_OVER_LEASES
                listener.deposed(lease, resignation.reason)
                state.release(hold)
                return
            }
            if (steadyMs() - lease.workedMs > ttlMs * STUCK_LEASES) {
                // It runs out and isn't released: whoever does the work may be in the middle of an answer, and goes by the clock.
                listener.deposed(lease, "nothing gets on here")
                return delay(ttlMs)
            }
            val sent = steadyMs()
            when (val renewal = state.extend(hold)) {
                Renewal.Held -> lease.heldUntilMs = heldUntil(sent)
                Renewal.Gone -> return listener.deposed(lease, "the lease ran out")
                is Renewal.Unknown -> if (steadyMs() > lease.heldUntilMs) {
                    log.info("term {}: the lease may have run out: {}", term.revision, renewal.failure)
                }
            }
        }
    }

    private fun heldUntil(renewedMs: Long) = renewedMs + ttlMs - (ttlMs * Tuning.DRIFT).toLong() - 1

    private class Holder(val member: String, val incarnation: String, val lease: Long) {
        companion object {
            fun of(entry: StateWire.Entry): Holder? = try {
                Holder(entry.value.text("member"), entry.value.text("incarnation"), entry.value.whole("lease"))
            } catch (_: Malformed) {
                null
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")
        const val RENEWALS_PER_LEASE = 4

        /** An election takes far less; if nobody else has won it by then, we may lead again. */
        const val HAND_OVER_LEASES = 4

        /** A leader whose own loop stands still for as long gives up, though its lease could be kept. */
        const val STUCK_LEASES = 4

        /** How long a watch hangs, in leases. */
        const val WATCH_LEASES = 4L
    }
}
