package cleathitch.storage

import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.model.Term
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * The journal's place in the state service during one term.
 *
 * Every transaction is guarded by the leader's key and by the head key, which it rewrites: a deposed
 * leader commits nothing, and a copy that comes late, even after a trim has deleted what it wrote,
 * finds another head.
 */
class LogStorage(
    private val state: KeyValueStoreClient,
    private val prefix: String,
    private val leaderKey: String,
    private val term: Term,
    private val processingTimes: ProcessingTimes,
) {
    private class Contents(val entries: List<KeyValueStoreProtocol.Entry>, val pages: Int)

    private var headRevision = 0L

    /** What this store is doing, for the log of a term that ends in the middle of it. */
    var activity = "nothing read yet"
        private set

    /** Reads everything; since we hold the leader's key, nobody else writes meanwhile. */
    suspend fun load(): RecoveredState {
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
        val entries = ArrayList<KeyValueStoreProtocol.Entry>()
        var after: String? = null
        var pages = 0
        while (true) {
            activity = "reading page ${pages + 1}, ${entries.size} entries so far, try $tryNumber"
            val page = when (val read = state.list(prefix, after)) {
                is StoreRead.Value -> read.value
                is StoreRead.Failed -> {
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

    private fun decode(entries: List<KeyValueStoreProtocol.Entry>): RecoveredState {
        headRevision = entries.firstOrNull { it.key == prefix + DecisionLog.HEAD }?.revision ?: 0
        val named = entries.map { KeyValueStoreProtocol.Entry(it.key.removePrefix(prefix), it.value, it.revision) }
        return processingTimes.measure(ProcessingStage.REPLAY) { LogCodec.snapshot(named) }
    }

    /** Sends the same content until its fate is known. */
    suspend fun commit(commit: Commit): CommitResult {
        val guards = mapOf(leaderKey to term.revision, prefix + DecisionLog.HEAD to headRevision)
        val writes = processingTimes.measure(ProcessingStage.COMMIT_ENCODING) { commit.changes.flatMap(::writesOf) }
        val begunMs = steadyMs()
        var tries = 0
        while (true) {
            tries++
            when (val result = state.transaction(guards, writes)) {
                is CompareAndSwapResult.Applied -> return done(commit, result.revision, tries, begunMs)
                is CompareAndSwapResult.Refused -> {
                    val earlier = appliedAs(commit) ?: return CommitResult.Refused(result.failed)
                    return done(commit, earlier, tries, begunMs)
                }
                is CompareAndSwapResult.LeaseNotFound, is CompareAndSwapResult.Unavailable, is CompareAndSwapResult.Unknown -> {
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
            val page = when (val read = state.list(prefix + DecisionLog.HEAD, null)) {
                is StoreRead.Value -> read.value
                is StoreRead.Failed -> {
                    delay(RETRY_MS)
                    continue
                }
            }
            val entry = page.entries.firstOrNull() ?: return null
            val head = try {
                LogCodec.head(entry.value)
            } catch (e: MalformedMessageException) {
                log.error("the head is garbled: {}", e.message)
                return null
            }
            return entry.revision.takeIf { head.seq == commit.seq && head.term == term }
        }
    }

    private fun writesOf(change: Mutation): List<KeyValueStoreProtocol.Write> = when (change) {
        is Mutation.Delete -> listOf(KeyValueStoreProtocol.Write.Delete(prefix + change.key))
        is Mutation.Put -> {
            val split = change.key.startsWith(DecisionLog.JOB_PREFIX)
            LogCodec.encode(change.value, change.parts).mapIndexed { part, value ->
                KeyValueStoreProtocol.Write.Put(prefix + change.key + if (split) "/$part" else "", value)
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
