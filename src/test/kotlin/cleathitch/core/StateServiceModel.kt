package cleathitch.core

import cleathitch.protocol.StateWire
import cleathitch.state.StoredCodec
import java.util.TreeMap

/** The values that commits have left in a state service, as the real codec stores them. */
class StoredCells {
    private val cells = TreeMap<String, Change.Put>()

    val head get() = cells[Journal.HEAD]?.value as? Stored.Head

    /** Carries out the changes of a commit. */
    fun apply(changes: List<Change>) {
        for (change in changes) {
            when (change) {
                is Change.Put -> cells[change.key] = change
                // A cell's parts are kept together here, so each part's deletion is the cell's.
                is Change.Delete -> cells.remove(
                    if (change.key.startsWith(Journal.JOB_PREFIX)) change.key.substringBeforeLast('/') else change.key,
                )
            }
        }
    }

    /** As a new leader reads them, at [revision]. */
    fun entries(revision: Long): List<StateWire.Entry> = cells.values.flatMap { put ->
        StoredCodec.encode(put.value, put.parts).mapIndexed { part, value ->
            StateWire.Entry(put.key + if (put.value is Stored.OfJob) "/$part" else "", value, revision)
        }
    }
}

/** A state service in simulated time: the leader's key under its lease, the head, and what is stored. */
class StateServiceModel<N : Any>(private val ttlMs: Long, private val nowMs: () -> Long) {
    private val cells = StoredCells()
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
        return headRevision.takeIf { cells.head == Stored.Head(commit.seq, Term(term)) }
    }

    /** Through the real codec, as a new leader would read it. */
    fun snapshot(): Snapshot = StoredCodec.snapshot(cells.entries(headRevision))
}
