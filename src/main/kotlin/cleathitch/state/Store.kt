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
import java.util.concurrent.TimeUnit

/** What became of a commit. */
sealed interface CommitResult {
    data class Done(val revision: Long) : CommitResult

    /** Another leads, or has led since: this node's term is over. */
    data class Refused(val failedKeys: List<String>) : CommitResult
}

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
    private class Contents(val entries: List<StateWire.Entry>, val pages: Int)

    private var headRevision = 0L

    /** What this store is doing, for the log of a term that ends in the middle of it. */
    var activity = "nothing read yet"
        private set

    /** Reads everything; since we hold the leader's key, nobody else writes meanwhile. */
    suspend fun load(): Snapshot {
        val begunMs = steadyMs()
        var tries = 0
        while (true) {
            val contents = readAll(++tries)
            if (contents != null) {
                val snapshot = decode(contents.entries)
                log.info(
                    "term {}: read {} entries on {} pages in {} ms, try {}",
                    term.revision,
                    contents.entries.size,
                    contents.pages,
                    steadyMs() - begunMs,
                    tries,
                )
                activity = "everything read"
                return snapshot
            }
            delay(RETRY_MS)
        }
    }

    /** All entries, or null after a page that couldn't be read. */
    private suspend fun readAll(tryNumber: Int): Contents? {
        val entries = ArrayList<StateWire.Entry>()
        var after: String? = null
        var pages = 0
        while (true) {
            activity = "reading page ${pages + 1}, ${entries.size} entries so far, try $tryNumber"
            val page = when (val read = state.list(prefix, after)) {
                is StateRead.Value -> read.value
                is StateRead.Failed -> {
                    if (tryNumber == 1) log.info("term {}: page {} can't be read: {}", term.revision, pages + 1, read.failure)
                    return null
                }
            }
            pages++
            entries += page.entries
            after = page.entries.lastOrNull()?.key
            if (!page.more) return Contents(entries, pages)
        }
    }

    private fun decode(entries: List<StateWire.Entry>): Snapshot {
        headRevision = entries.firstOrNull { it.key == prefix + Journal.HEAD }?.revision ?: 0
        val named = entries.map { StateWire.Entry(it.key.removePrefix(prefix), it.value, it.revision) }
        return workTimes.measure(WorkPart.REPLAY) { StoredCodec.snapshot(named) }
    }

    /** Sends the same content until its fate is known. */
    suspend fun commit(commit: Commit): CommitResult {
        val guards = mapOf(leaderKey to term.revision, prefix + Journal.HEAD to headRevision)
        val writes = workTimes.measure(WorkPart.COMMIT_ENCODING) { commit.changes.flatMap(::writesOf) }
        val begunMs = steadyMs()
        var tries = 0
        while (true) {
            tries++
            when (val result = state.transaction(guards, writes)) {
                is Txn.Done -> return done(commit, result.revision, tries, begunMs)
                is Txn.Refused -> {
                    val earlier = appliedAs(commit) ?: return CommitResult.Refused(result.failed)
                    return done(commit, earlier, tries, begunMs)
                }
                is Txn.NoLease, is Txn.Unavailable, is Txn.Unknown -> {
                    if (tries == 1) log.info("term {}: record {} isn't written yet: {}", term.revision, commit.seq, result)
                    delay(RETRY_MS)
                }
            }
        }
    }

    private fun done(commit: Commit, revision: Long, tries: Int, begunMs: Long): CommitResult {
        headRevision = revision
        if (tries > 1) log.info("term {}: record {} written at try {}, {} ms", term.revision, commit.seq, tries, steadyMs() - begunMs)
        return CommitResult.Done(revision)
    }

    /** An earlier copy of the same content may have been carried out though its answer was lost. */
    private suspend fun appliedAs(commit: Commit): Long? {
        while (true) {
            val page = when (val read = state.list(prefix + Journal.HEAD, null)) {
                is StateRead.Value -> read.value
                is StateRead.Failed -> {
                    delay(RETRY_MS)
                    continue
                }
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

        fun steadyMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
    }
}
