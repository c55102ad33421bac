package cleathitch.scheduler.log

import cleathitch.scheduler.model.StoreLimits

/** The snapshot of a job, to be written in [parts] parts of [size] together, and the starts that the same commit relocates. */
internal class PlannedSnapshot(
    val snapshot: JobSnapshot,
    val parts: Int,
    val size: ChangeSize,
    val relocated: List<Event.AttemptStarted> = emptyList(),
)

/** The result of planning the snapshot of a job. */
internal sealed interface SnapshotDecision {
    /** Write the snapshot. */
    class Store(val planned: PlannedSnapshot) : SnapshotDecision

    /** The snapshot doesn't fit beside what the transaction already holds. */
    data object NoSpaceNow : SnapshotDecision

    /** Too few of the events that the snapshot would replace are outdated to be worth writing the live ones again. */
    data object NotWorthwhile : SnapshotDecision

    /** The job can't be stored in one transaction, not even without its live attempts: that alone takes [size]. */
    class TooLarge(val size: ChangeSize) : SnapshotDecision
}

/**
 * Plans the snapshot of one open job, small enough for the transaction.
 *
 * All live attempts of a job may take more than a transaction. The snapshot then holds those that were started in the oldest records, as
 * many as fit; the starts of the others stay in their records. Such a partial snapshot includes the records up to the last one
 * of which it holds all live starts, and replay applies the later records on top of it. Its completed tasks are as of now, which
 * does no harm, because completing a task again has no effect.
 *
 * Once the snapshot has no room for the live starts of the next record, that record can't be replaced. If most events of the
 * retained records are outdated, the live starts of the oldest ones are relocated to a new record at the end of the log.
 *
 * @param storedParts the number of parts of the stored snapshot, all of which have to be overwritten
 * @param commitIndex the newest record, up to which a snapshot of all live attempts includes everything
 */
internal class JobSnapshotPlanner(
    private val job: CompactedJob.Open,
    private val storedParts: Int,
    private val commitIndex: LogIndex,
    private val sizes: StoredSizes,
    private val limits: StoreLimits,
) {
    private val id = job.withoutAttempts.spec.id
    private val held = ArrayList<LoggedAttempt>()

    private val remaining = job.liveAttempts.iterator()

    /** The first attempt that the snapshot has no room for; null if it holds all. */
    private var firstLeftOut: LoggedAttempt? = null

    /**
     * Plans a snapshot that includes record [neededIndex], within [space]. [retainedEvents] counts the events in the records that
     * the stored snapshot doesn't include.
     */
    fun plan(neededIndex: LogIndex, space: TransactionSpace, relocation: RelocatedStarts, retainedEvents: () -> Int): SnapshotDecision {
        val baseBytes = sizes.encodedBytes(StoredValue.Job(job.withoutAttempts))
        val maxSize = maxSize(sizeOf(baseBytes)) ?: return SnapshotDecision.TooLarge(sizeOf(baseBytes))
        selectHeld(baseBytes, maxSize)
        val lastIncluded = lastIncludedBefore(firstLeftOut)
        return when {
            lastIncluded >= neededIndex -> store(lastIncluded, space)
            isRelocationWorthwhile(retainedEvents()) -> relocate(neededIndex, space, relocation)
            else -> SnapshotDecision.NotWorthwhile
        }
    }

    private fun isRelocationWorthwhile(retainedEvents: Int): Boolean {
        val liveStarts = job.liveCount - held.size
        return retainedEvents >= liveStarts * MIN_EVENTS_PER_RELOCATED_START
    }

    /** The size to which the snapshot may grow by its live attempts; null if it is too large even without them. */
    private fun maxSize(baseSize: ChangeSize): ChangeSize? {
        val usual = ChangeSize((limits.transactionBytes * USUAL_SHARE).toInt(), limits.operations / 2)
        val largest = ChangeSize((limits.transactionBytes * LARGEST_SHARE).toInt(), limits.operations - RESERVED_OPERATIONS)
        return listOf(usual, largest).firstOrNull { baseSize isWithin it }
    }

    private fun selectHeld(baseBytes: Int, maxSize: ChangeSize) {
        var bytes = baseBytes
        while (remaining.hasNext()) {
            val next = remaining.next()
            bytes += sizes.encodedBytes(next.attempt)
            if (!(sizeOf(bytes) isWithin maxSize)) {
                firstLeftOut = next
                return
            }
            held += next
        }
    }

    private fun store(lastIncluded: LogIndex, space: TransactionSpace): SnapshotDecision {
        val planned = snapshot(lastIncluded)
        return if (space.fits(planned.size)) SnapshotDecision.Store(planned) else SnapshotDecision.NoSpaceNow
    }

    private fun relocate(neededIndex: LogIndex, space: TransactionSpace, relocation: RelocatedStarts): SnapshotDecision {
        val snapshotSize = snapshot(commitIndex).size
        val candidates = ArrayList<LoggedAttempt>()
        var bytes = 0
        var firstUnmoved: LoggedAttempt? = null
        for (attempt in sequenceOf(firstLeftOut).filterNotNull() + remaining.asSequence()) {
            bytes += sizes.encodedBytes(startOf(attempt))
            if (!relocation.hasRoomFor(bytes) || !space.fits(snapshotSize + relocation.growth(bytes))) {
                firstUnmoved = attempt
                break
            }
            candidates += attempt
        }
        val lastIncluded = lastIncludedBefore(firstUnmoved)
        if (lastIncluded < neededIndex) return SnapshotDecision.NoSpaceNow
        val relocated = candidates.filter { it.startIndex <= lastIncluded }.map(::startOf)
        return SnapshotDecision.Store(snapshot(lastIncluded, relocated))
    }

    /** The last record that a snapshot may include if [attempt] is the first one that it doesn't hold; null if it holds all. */
    private fun lastIncludedBefore(attempt: LoggedAttempt?) = if (attempt == null) commitIndex else LogIndex(attempt.startIndex.number - 1)

    /** A snapshot that includes the records up to [lastIncluded]. */
    private fun snapshot(lastIncluded: LogIndex, relocated: List<Event.AttemptStarted> = emptyList()): PlannedSnapshot {
        val attempts = held.filter { it.startIndex <= lastIncluded }.map { it.attempt }
        val snapshot = job.withoutAttempts.copy(lastIncludedIndex = lastIncluded, liveAttempts = attempts)
        val bytes = sizes.encodedBytes(StoredValue.Job(snapshot))
        return PlannedSnapshot(snapshot, partsFor(bytes), sizeOf(bytes), relocated)
    }

    private fun startOf(logged: LoggedAttempt) = with(logged.attempt) { Event.AttemptStarted(id, taskIndex, number, machine) }

    private fun partsFor(encodedBytes: Int) = maxOf(storedParts, sizes.partsFor(encodedBytes, limits.valueBytes))

    private fun sizeOf(encodedBytes: Int): ChangeSize {
        val parts = partsFor(encodedBytes)
        return ChangeSize(sizes.putBytes(LogKeys.jobParts(id, parts), encodedBytes), parts)
    }

    private companion object {
        /** The fraction of a transaction that a snapshot may take, so that it usually fits beside the records of its commit. */
        const val USUAL_SHARE = 0.5

        /** The fraction for the snapshot of a job that is larger than [USUAL_SHARE] without any live attempt. */
        const val LARGEST_SHARE = 0.9

        /** Operations of a transaction that no snapshot takes: the head, a relocation record and a chunk of final states. */
        const val RESERVED_OPERATIONS = 3

        /** Starts are relocated only while the retained records hold this many events for each live start in them. */
        const val MIN_EVENTS_PER_RELOCATED_START = 2
    }
}
