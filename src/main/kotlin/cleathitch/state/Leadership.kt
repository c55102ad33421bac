package cleathitch.state

import cleathitch.core.Term
import cleathitch.core.Tuning
import cleathitch.protocol.Malformed
import cleathitch.protocol.Wire
import cleathitch.protocol.text
import cleathitch.protocol.whole
import cleathitch.protocol.StateWire
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/** Told what becomes of the leadership. */
interface LeadershipListener {
    /** We lead; the lease is surely held until [heldUntilMs]. */
    fun elected(term: Term, heldUntilMs: Long)
    fun renewed(heldUntilMs: Long)
    fun deposed(reason: String)

    /** Who leads, and in which term; with nobody, the newest revision known. */
    fun leaderIs(member: String?, term: Long)
}

/**
 * Holds the leader's key under a lease while it can, and watches it otherwise.
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
    private val listener: LeadershipListener,
    private val steadyMs: () -> Long,
) {
    @Volatile
    private var resignation: String? = null
    private var holdBackUntilMs = 0L

    /** Gives the leadership up, for instance because a newer leader was seen; a [handOver] lets others go first. */
    fun resign(reason: String, handOver: Boolean = false) {
        resignation = reason
        if (handOver) holdBackUntilMs = steadyMs() + ttlMs * HAND_OVER_LEASES
    }

    suspend fun run(): Nothing {
        while (true) {
            val page = state.list(leaderKey, null)
            if (page == null) {
                delay(ttlMs / 8)
                continue
            }
            val entry = page.entries.firstOrNull { it.key == leaderKey }
            if (entry == null) {
                listener.leaderIs(null, page.revision)
                if (steadyMs() < holdBackUntilMs) delay(ttlMs / 8) else compete()
                continue
            }
            val holder = Holder.of(entry)
            when {
                holder?.incarnation == incarnation -> {
                    // Won by a transaction whose answer was lost. What is left of its lease isn't known, and after
                    // a standstill it may be nothing: it counts from a renewal, not from this look.
                    val sent = steadyMs()
                    if (state.extend(holder.lease) == Renewal.Held) lead(Term(entry.revision), holder.lease, sent) else delay(ttlMs / 8)
                }
                holder?.member == member -> {
                    // The process that held it is gone, since we are its successor: no need to wait for the lease's end.
                    log.info("releasing the lease of our predecessor, term {}", entry.revision)
                    if (!state.release(holder.lease)) delay(ttlMs / 8)
                }
                else -> {
                    listener.leaderIs(holder?.member, entry.revision)
                    if (state.follow(leaderKey, page.revision, WATCH_LEASES * ttlMs) == null) delay(ttlMs / 8)
                }
            }
        }
    }

    private suspend fun compete() {
        val asked = steadyMs()
        val lease = state.hold(ttlMs)
        if (lease == null) {
            delay(ttlMs / 8)
            return
        }
        val value = Wire.newMap().put("member", member).put("incarnation", incarnation).put("lease", lease)
        when (val result = state.transaction(mapOf(leaderKey to 0L), listOf(StateWire.Write.Put(leaderKey, value, lease)))) {
            is Txn.Done -> lead(Term(result.revision), lease, asked)
            is Txn.Refused, Txn.NoLease -> state.release(lease)
            Txn.Unavailable, Txn.Unknown -> delay(ttlMs / 8) // the next look shows whether we have it
        }
    }

    private suspend fun lead(term: Term, lease: Long, renewedMs: Long) {
        resignation = null
        var renewed = renewedMs
        listener.elected(term, heldUntil(renewed))
        while (true) {
            delay(ttlMs / RENEWALS_PER_LEASE)
            var reason = resignation
            if (reason == null) {
                val sent = steadyMs()
                when (state.extend(lease)) {
                    Renewal.Held -> {
                        renewed = sent
                        listener.renewed(heldUntil(renewed))
                    }
                    Renewal.Gone -> reason = "the lease ran out"
                    Renewal.Unknown -> if (steadyMs() > heldUntil(renewed)) log.info("term {}: the lease may have run out", term.revision)
                }
            }
            reason = reason ?: resignation
            if (reason != null) {
                listener.deposed(reason)
                state.release(lease)
                return
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

        /** How long a watch hangs, in leases. */
        const val WATCH_LEASES = 4L
    }
}
