package cleathitch.state

import cleathitch.WorkPart
import cleathitch.WorkTimes
import cleathitch.core.Change
import cleathitch.core.Commit
import cleathitch.core.Journal
import cleathitch.core.Snapshot
import cleathitch.core.Term
import cleathitch.protocol.Malformed
import cleathitch.protocol.StateWire
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * The journal's place in the state service during one term.
 *
 * Every transaction is guarded by the leader's key and by the head key, which it rewrites: a deposed
 * leader commits nothing, and a copy that comes late, even after a trim has deleted what it wrote,
 * finds another head.
 */
class Store(
    private val state: StateClient,
    private val prefix: String,
    private val leaderKey: String,
    private val term: Term,
    private val workTimes: WorkTimes,
) {
    private var headRevision = 0L

    /** Reads everything; since we hold the leader's key, nobody else writes meanwhile. */
    suspend fun load(): Snapshot {
        while (true) {
            val entries = ArrayList<StateWire.Entry>()
            var after: String? = null
            var complete = false
            while (!complete) {
                val page = state.list(prefix, after) ?: break
                entries += page.entries
                after = page.entries.lastOrNull()?.key
                complete = !page.more
            }
            if (complete) {
                headRevision = entries.firstOrNull { it.key == prefix + Journal.HEAD }?.revision ?: 0
                val named = entries.map { StateWire.Entry(it.key.removePrefix(prefix), it.value, it.revision) }
                return workTimes.measure(WorkPart.REPLAY) { StoredCodec.snapshot(named) }
            }
            delay(RETRY_MS)
        }
    }

    /** Sends the same content until its fate is known; null if we lead no more. */
    suspend fun commit(commit: Commit): Long? {
        val guards = mapOf(leaderKey to term.revision, prefix + Journal.HEAD to headRevision)
        val writes = workTimes.measure(WorkPart.COMMIT_ENCODING) { commit.changes.flatMap(::writesOf) }
        while (true) {
            when (val result = state.transaction(guards, writes)) {
                is Txn.Done -> return result.revision.also { headRevision = it }
                is Txn.Refused -> return appliedAs(commit)?.also { headRevision = it }
                Txn.NoLease, Txn.Unavailable, Txn.Unknown -> delay(RETRY_MS)
            }
        }
    }

    /** An earlier copy of the same content may have been carried out though its answer was lost. */
    private suspend fun appliedAs(commit: Commit): Long? {
        while (true) {
            val page = state.list(prefix + Journal.HEAD, null)
            if (page == null) {
                delay(RETRY_MS)
                continue
            }
            val entry = page.entries.firstOrNull() ?: return null
            val head = try {
                StoredCodec.head(entry.value)
            } catch (e: Malformed) {
                log.error("the head is garbled: {}", e.message)
                return null
            }
            return entry.revision.takeIf { head.seq == commit.seq && head.term == term }
        }
    }

    private fun writesOf(change: Change): List<StateWire.Write> = when (change) {
        is Change.Delete -> listOf(StateWire.Write.Delete(prefix + change.key))
        is Change.Put -> {
            val split = change.key.startsWith(Journal.JOB_PREFIX)
            StoredCodec.encode(change.value, change.parts).mapIndexed { part, value ->
                StateWire.Write.Put(prefix + change.key + if (split) "/$part" else "", value)
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")

        /** Between two tries: some times a usual answer, so that an outage doesn't eat the request budget. */
        const val RETRY_MS = 100L
    }
}
