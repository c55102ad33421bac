package cleathitch.storage

import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.model.Term
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Reads and writes the decision log in the key-value store during one term. Owned by the leader's term and used on its event
 * loop, by one commit at a time.
 *
 * Every commit is a compare-and-swap on the revisions of the leader's key and of the head key, which it rewrites. So a deposed
 * leader commits nothing, and a delayed copy of a commit is refused even after compaction has deleted what the commit wrote.
 */
class LogStorage(
    private val store: KeyValueStoreClient,
    private val keyPrefix: String,
    private val leaderKey: String,
    private val term: Term,
    private val processingTimes: ProcessingTimes,
    private val steadyMs: () -> Long,
) {
    private class Contents(val entries: List<KeyValueStoreProtocol.Entry>, val pages: Int)

    private val headKey = keyPrefix + LogKeys.HEAD
    private var headRevision = KEY_ABSENT

    /** How far [load] has come; shows what a term was doing that ends before it leads. */
    var loadProgress: LoadProgress = LoadProgress.NotStarted
        private set

    /**
     * Reads the whole log, and tries again until every page was read. Nobody else writes meanwhile, because this controller holds
     * the leader's key. Throws what [LogCodec.recoveredState] throws if a stored value can't be decoded.
     */
    suspend fun load(): RecoveredState {
        val startedAtMs = steadyMs()
        var attempt = 1
        while (true) {
            when (val read = readPages(attempt)) {
                is ServiceResult.Success -> return recover(read.value, attempt, startedAtMs)
                is ServiceResult.Failure -> delay(RETRY_DELAY_MS)
            }
            attempt++
        }
    }

    private suspend fun readPages(attempt: Int): ServiceResult<Contents> {
        val entries = ArrayList<KeyValueStoreProtocol.Entry>()
        var lastKey: String? = null
        var pages = 0
        while (true) {
            loadProgress = LoadProgress.ReadingPage(pages + 1, entries.size, attempt)
            val page = when (val read = store.list(keyPrefix, lastKey)) {
                is ServiceResult.Success -> read.value
                is ServiceResult.Failure -> {
                    if (attempt == 1) logReadFailure(pages + 1, read.error)
                    return read
                }
            }
            pages++
            entries += page.entries
            lastKey = page.entries.lastOrNull()?.key
            if (!page.more) return ServiceResult.Success(Contents(entries, pages))
        }
    }

    private fun recover(contents: Contents, attempt: Int, startedAtMs: Long): RecoveredState {
        val recovered = decode(contents.entries)
        log.info(
            "term={} event=log_read entries={} pages={} duration_ms={} attempt={}",
            term.revision,
            contents.entries.size,
            contents.pages,
            steadyMs() - startedAtMs,
            attempt,
        )
        loadProgress = LoadProgress.Complete
        return recovered
    }

    private fun decode(entries: List<KeyValueStoreProtocol.Entry>): RecoveredState {
        headRevision = entries.firstOrNull { it.key == headKey }?.revision ?: KEY_ABSENT
        val relative = entries.map { KeyValueStoreProtocol.Entry(it.key.removePrefix(keyPrefix), it.value, it.revision) }
        return processingTimes.measure(ProcessingStage.REPLAY) { LogCodec.recoveredState(relative) }
    }

    /** Carries out [commit], and sends the same content again until it is certain whether it was carried out. */
    suspend fun commit(commit: Commit): CommitResult {
        val expectedRevisions = mapOf(leaderKey to term.revision, headKey to headRevision)
        val writes = processingTimes.measure(ProcessingStage.COMMIT_ENCODING) { commit.changes.flatMap(::writesOf) }
        val startedAtMs = steadyMs()
        var attempt = 1
        while (true) {
            when (val result = store.compareAndSwap(expectedRevisions, writes)) {
                is CompareAndSwapResult.Applied -> return committed(commit, result.revision, attempt, startedAtMs)
                is CompareAndSwapResult.Refused -> {
                    val revision = revisionOfEarlierAttempt(commit) ?: return CommitResult.Refused(result.failedKeys)
                    return committed(commit, revision, attempt, startedAtMs)
                }
                is CompareAndSwapResult.LeaseNotFound, is CompareAndSwapResult.Unavailable, is CompareAndSwapResult.Unknown -> {
                    if (attempt == 1) logUnconfirmed(commit, result)
                    delay(RETRY_DELAY_MS)
                }
            }
            attempt++
        }
    }

    private fun committed(commit: Commit, revision: Long, attempt: Int, startedAtMs: Long): CommitResult {
        headRevision = revision
        if (attempt > 1) {
            val durationMs = steadyMs() - startedAtMs
            log.info("term={} event=committed index={} attempt={} duration_ms={}", term.revision, commit.index.number, attempt, durationMs)
        }
        return CommitResult.Committed(revision)
    }

    /**
     * The revision at which an earlier attempt at [commit] was carried out although its response was lost; null if the head isn't
     * this commit's.
     */
    private suspend fun revisionOfEarlierAttempt(commit: Commit): Long? {
        val entry = readHead() ?: return null
        val head = try {
            LogCodec.head(entry.value)
        } catch (e: MalformedMessageException) {
            log.error("term={} event=malformed_head error=\"{}\"", term.revision, e.message)
            return null
        }
        return entry.revision.takeIf { head.index == commit.index && head.term == term }
    }

    /** The entry of the head key, null if there is none; tries again until the key was read. */
    private suspend fun readHead(): KeyValueStoreProtocol.Entry? {
        while (true) {
            when (val read = store.list(headKey, null)) {
                is ServiceResult.Success -> return read.value.entries.firstOrNull()
                is ServiceResult.Failure -> delay(RETRY_DELAY_MS)
            }
        }
    }

    private fun writesOf(change: Mutation): List<KeyValueStoreProtocol.Write> = when (change) {
        is Mutation.Delete -> listOf(KeyValueStoreProtocol.Write.Delete(keyPrefix + change.key))
        is Mutation.Put -> putsOf(change)
    }

    private fun putsOf(put: Mutation.Put): List<KeyValueStoreProtocol.Write> {
        val isSplit = put.key.startsWith(LogKeys.JOB_PREFIX)
        return LogCodec.encode(put.value, put.parts).mapIndexed { part, value ->
            val suffix = if (isSplit) "/$part" else ""
            KeyValueStoreProtocol.Write.Put(keyPrefix + put.key + suffix, value)
        }
    }

    private fun logReadFailure(page: Int, error: ServiceError) {
        log.info("term={} event=log_read_failed page={} failure=\"{}\"", term.revision, page, error)
    }

    private fun logUnconfirmed(commit: Commit, result: CompareAndSwapResult) {
        log.info("term={} event=commit_unconfirmed index={} result=\"{}\"", term.revision, commit.index.number, result)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")

        /** The revision that stands for a key that doesn't exist. */
        const val KEY_ABSENT = 0L

        /** Several times a usual response time, so that an outage doesn't use up the request budget. */
        const val RETRY_DELAY_MS = 100L
    }
}
