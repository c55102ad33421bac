package cleathitch.storage

import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.ProcessingTimes
import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.Transaction
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoreHealth
import cleathitch.scheduler.model.Term
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Reads and writes the decision log in the key-value store during one term. Owned by the leader's term and used on its event
 * loop, with at most one commit in progress.
 *
 * Every commit is a compare-and-swap on the revisions of the leader's key and of the head key, and rewrites the head key. The check
 * of the leader's key keeps a deposed leader from committing. The check of the head key keeps a delayed duplicate of a commit from
 * being applied, even after compaction has deleted the entries that the commit wrote.
 *
 * [storeHealth] is what this process has learnt about the key-value store, and outlives the term; [monotonicMs] is the monotonic clock.
 */
class LogStorage(
    private val store: KeyValueStoreClient,
    private val keyPrefix: String,
    private val leaderKey: String,
    private val term: Term,
    val storeHealth: StoreHealth,
    private val processingTimes: ProcessingTimes,
    private val meterRegistry: MeterRegistry,
    private val monotonicMs: () -> Long,
) {
    private class LogContents(val entries: List<KeyValueStoreProtocol.Entry>, val pages: Int)

    /** The sizes of the commits that this storage writes. */
    val sizes = LogSizes(keyPrefix, leaderKey)
    private val headKey = keyPrefix + LogKeys.HEAD
    private var headRevision = KEY_ABSENT

    /** The progress of [load]. Logged if the term ends before the scheduler is recovered, to show how far the recovery had come. */
    var loadProgress: LoadProgress = LoadProgress.NotStarted
        private set

    /**
     * Reads the whole log, retrying until all pages have been read in one attempt. There are no concurrent writes, because this
     * controller holds the leader's key. Throws the exceptions of [LogCodec.decodeRecoveredState] if a stored value cannot be decoded.
     */
    suspend fun load(): RecoveredState {
        val startedAtMs = monotonicMs()
        var attempt = 1
        while (true) {
            when (val read = readPages(attempt)) {
                is ServiceResult.Success -> return recover(read.value, attempt, startedAtMs)
                is ServiceResult.Failure -> delay(RETRY_DELAY_MS)
            }
            attempt++
        }
    }

    private suspend fun readPages(attempt: Int): ServiceResult<LogContents> {
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
            if (!page.hasMore) return ServiceResult.Success(LogContents(entries, pages))
        }
    }

    private fun recover(contents: LogContents, attempt: Int, startedAtMs: Long): RecoveredState {
        val recovered = decode(contents.entries)
        log.info(
            "term={} event=log_read entries={} pages={} duration_ms={} attempt={}",
            term.revision,
            contents.entries.size,
            contents.pages,
            monotonicMs() - startedAtMs,
            attempt,
        )
        loadProgress = LoadProgress.Complete
        return recovered
    }

    private fun decode(entries: List<KeyValueStoreProtocol.Entry>): RecoveredState {
        headRevision = entries.firstOrNull { it.key == headKey }?.revision ?: KEY_ABSENT
        val relativeEntries = entries.map { KeyValueStoreProtocol.Entry(it.key.removePrefix(keyPrefix), it.value, it.revision) }
        return processingTimes.measure(ProcessingStage.REPLAY) { LogCodec.decodeRecoveredState(relativeEntries) }
    }

    /**
     * Writes [commit], resending the same content until it is certain whether it was applied. A commit that the store rejects for its
     * content isn't resent.
     */
    suspend fun commit(commit: Commit): CommitResult {
        val transaction = processingTimes.measure(ProcessingStage.COMMIT_ENCODING) {
            Transaction(mapOf(leaderKey to term.revision, headKey to headRevision), commit.changes.flatMap(::writesOf))
        }
        val attempts = CommitAttempts(term, commit.index, { transaction.size }, storeHealth.limits, meterRegistry, monotonicMs)
        while (true) {
            val result = store.compareAndSwap(transaction)
            attempts.record(result)
            when (result) {
                is CompareAndSwapResult.Applied -> return committed(result.revision)
                is CompareAndSwapResult.Refused ->
                    return revisionOfEarlierAttempt(commit)?.let(::committed) ?: CommitResult.Refused(result.failedKeys)
                is CompareAndSwapResult.Rejected, CompareAndSwapResult.LeaseNotFound ->
                    return if (attempts.isFateUnknown) fateAfterRejection(commit, transaction) else CommitResult.Rejected(transaction.size)
                is CompareAndSwapResult.Unavailable, is CompareAndSwapResult.Unknown -> delay(RETRY_DELAY_MS)
            }
        }
    }

    private suspend fun fateAfterRejection(commit: Commit, transaction: Transaction): CommitResult =
        revisionOfEarlierAttempt(commit)?.let(::committed) ?: CommitResult.Undecided(transaction.size)

    private fun committed(revision: Long): CommitResult {
        headRevision = revision
        return CommitResult.Committed(revision)
    }

    /**
     * Returns the revision of [commit] if an earlier attempt to write it was applied and only the response was lost. Returns null if
     * the head was not written by this commit.
     */
    private suspend fun revisionOfEarlierAttempt(commit: Commit): Long? {
        val entry = readHead() ?: return null
        val head = try {
            LogCodec.decodeHead(entry.value)
        } catch (e: MalformedMessageException) {
            log.error("term={} event=malformed_head error=\"{}\"", term.revision, e.message)
            return null
        }
        return entry.revision.takeIf { head.index == commit.index && head.term == term }
    }

    /** Reads the entry of the head key, retrying until the read succeeds; null if the key does not exist. */
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

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.state")

        /** The revision that a compare-and-swap expects of a key that does not exist. */
        const val KEY_ABSENT = 0L

        /** Several times the usual response time, so that retries during an outage do not use up the key-value store's rate limit. */
        const val RETRY_DELAY_MS = 100L
    }
}
