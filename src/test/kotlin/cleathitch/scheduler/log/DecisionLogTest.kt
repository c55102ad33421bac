package cleathitch.scheduler.log

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests [DecisionLog] and its compaction with fake jobs and fixed sizes. */
class DecisionLogTest {
    private val deployment = SimulatedCluster.defaultDeployment
    private val jobs = FakeJobs()
    private val decisionLog = DecisionLog(StoreHealth(deployment.storeLimits), FixedSizes)
    private val spec = SimulatedCluster.jobSpec(1)
    private val otherSpec = SimulatedCluster.jobSpec(2)
    private val start = Event.AttemptStarted(spec.id, 0, 1, MachineId("vm-000001"))

    /** Events and snapshots have a fixed size, and the encoding adds nothing. */
    private object FixedSizes : StoredSizes {
        override val headTransactionBytes = 0

        override fun encodedBytes(value: StoredValue) = when (value) {
            is StoredValue.Record -> value.record.events.size * EVENT_BYTES
            is StoredValue.Job -> SNAPSHOT_BYTES + value.snapshot.liveAttempts.size * ATTEMPT_BYTES
            is StoredValue.Head, is StoredValue.Inventory, is StoredValue.FinishedJobs -> 0
        }

        override fun encodedBytes(event: Event) = EVENT_BYTES
        override fun encodedBytes(attempt: LiveAttempt) = ATTEMPT_BYTES
        override fun encodedBytes(id: JobId) = 0
        override fun valueBytes(encodedBytes: Int) = encodedBytes
        override fun partsFor(encodedBytes: Int, maxValueBytes: Int) = (encodedBytes + maxValueBytes - 1) / maxValueBytes
        override fun putBytes(keys: List<String>, encodedBytes: Int) = encodedBytes
        override fun deleteBytes(key: String) = 0
    }

    private class FakeJobs : LoggedJobs {
        val unobservedStarts = HashSet<AttemptId>()
        val finished = HashSet<JobId>()
        val archived = ArrayList<JobId>()

        /** The live attempts of every open job, in the order of their starts. */
        var live = emptyList<LoggedAttempt>()

        override fun isStartUnobserved(attempt: AttemptId) = attempt in unobservedStarts

        override fun compact(id: JobId, lastIncludedIndex: LogIndex): CompactedJob = when (id) {
            in archived -> CompactedJob.Archived
            in finished -> CompactedJob.Finished(id, FinalState.DONE)
            else -> CompactedJob.Open(snapshot(id, lastIncludedIndex), live.size, live.asSequence())
        }

        override fun relocateStart(start: Event.AttemptStarted, index: LogIndex) {
            live = (
                live.filter { it.attempt.taskIndex != start.taskIndex } + live.filter { it.attempt.taskIndex == start.taskIndex }
                    .map { it.copy(startIndex = index) }
                )
        }

        override fun archive(id: JobId) {
            archived += id
        }

        fun snapshot(id: JobId, lastIncludedIndex: LogIndex) = JobSnapshot(
            lastIncludedIndex,
            SimulatedCluster.jobSpec(1).copy(id = id),
            acceptedAtWallMs = 0,
            isCancelled = false,
            NO_COMPLETED_TASKS,
            liveAttempts = emptyList(),
            lastAttemptNumber = 0,
        )
    }

    private fun nextCommit(maxCompactionChanges: Int = 0): Commit? =
        decisionLog.nextCommit(Term(7), jobs, { InventorySnapshot(it, emptyList(), emptyList()) }, maxCompactionChanges)

    private fun commit(maxCompactionChanges: Int = 0): Commit {
        val commit = checkNotNull(nextCommit(maxCompactionChanges)) { "there is nothing to commit" }
        decisionLog.recordCommitted(commit.index, jobs)
        return commit
    }

    private fun appendAndCommit(vararg events: Event) = events.forEach {
        decisionLog.append(it)
        commit()
    }

    private fun keys(commit: Commit) = commit.changes.map { if (it is Mutation.Delete) "-${it.key}" else it.key }

    @Test
    fun `an event counts as committed only once the commit of its record is confirmed`() {
        val index = decisionLog.append(Event.JobAccepted(spec, 0))
        val commit = nextCommit()
        assertEquals(index, commit?.index)
        assertTrue(decisionLog.committedIndex < index)
        decisionLog.recordCommitted(index, jobs)
        assertEquals(index, decisionLog.committedIndex)
    }

    @Test
    fun `at most one commit is in flight`() {
        val first = decisionLog.append(Event.JobAccepted(spec, 0))
        nextCommit()
        decisionLog.append(Event.JobCancelled(spec.id))
        assertNull(nextCommit())
        assertThrows(IllegalStateException::class.java) { decisionLog.recordCommitted(first.next(), jobs) }
        decisionLog.recordCommitted(first, jobs)
        assertEquals(first.next(), nextCommit()?.index)
    }

    @Test
    fun `the starts of a gang are stored in one record`() {
        val eventsPerRecord = deployment.maxStoredValueBytes / EVENT_BYTES
        repeat(eventsPerRecord - 1) { decisionLog.append(Event.JobCancelled(spec.id)) }
        val starts = List(2) { start.copy(taskIndex = it) }
        decisionLog.reserveSpaceFor(starts)
        assertEquals(setOf(LogIndex(2)), starts.map(decisionLog::append).toSet())
    }

    @Test
    fun `compaction replaces committed records with a snapshot`() {
        appendAndCommit(Event.JobAccepted(spec, 0), Event.JobCancelled(spec.id))
        val compaction = commit(maxCompactionChanges = 10)
        assertEquals(
            listOf(LogKeys.HEAD, LogKeys.job(spec.id), "-${LogKeys.record(LogIndex(1))}", "-${LogKeys.record(LogIndex(2))}"),
            keys(compaction),
        )
        assertFalse(decisionLog.isCompactionIncomplete)
        assertNull(nextCommit(maxCompactionChanges = 10))
    }

    @Test
    fun `a record with the start of an unobserved attempt is retained`() {
        jobs.unobservedStarts += AttemptId(TaskId(spec.id, start.taskIndex), start.number)
        appendAndCommit(start, Event.JobAccepted(otherSpec, 0))
        assertEquals(
            listOf(LogKeys.HEAD, LogKeys.job(otherSpec.id), "-${LogKeys.record(LogIndex(2))}"),
            keys(commit(maxCompactionChanges = 10)),
        )
        jobs.unobservedStarts.clear()
        assertTrue("-${LogKeys.record(LogIndex(1))}" in keys(commit(maxCompactionChanges = 10)))
    }

    @Test
    fun `a compaction that reaches its limit is reported as incomplete and the next one continues`() {
        appendAndCommit(Event.JobAccepted(spec, 0), Event.JobAccepted(otherSpec, 0))
        assertEquals(listOf(LogKeys.HEAD, LogKeys.job(spec.id), "-${LogKeys.record(LogIndex(1))}"), keys(commit(maxCompactionChanges = 2)))
        assertTrue(decisionLog.isCompactionIncomplete)
        assertTrue("-${LogKeys.record(LogIndex(2))}" in keys(commit(maxCompactionChanges = 2)))
        assertFalse(decisionLog.isCompactionIncomplete)
    }

    @Test
    fun `a finished job is archived only once the commit of its final state is confirmed`() {
        appendAndCommit(Event.JobAccepted(spec, 0))
        commit(maxCompactionChanges = 10)
        jobs.finished += spec.id
        appendAndCommit(Event.TaskCompleted(spec.id, 0, 1))
        val compaction = checkNotNull(nextCommit(maxCompactionChanges = 10))
        assertEquals(
            listOf(LogKeys.HEAD, "-${LogKeys.job(spec.id)}/0", "-${LogKeys.record(LogIndex(3))}", LogKeys.finishedJobs(0)),
            keys(compaction),
        )
        assertTrue(jobs.archived.isEmpty())
        decisionLog.recordCommitted(compaction.index, jobs)
        assertEquals(listOf(spec.id), jobs.archived)
    }

    @Test
    fun `nothing is compacted while a later record is pending`() {
        appendAndCommit(Event.JobAccepted(spec, 0))
        val recordsPerCommit = deployment.maxTransactionOps / 4
        val eventsPerRecord = deployment.maxStoredValueBytes / EVENT_BYTES
        repeat(recordsPerCommit * eventsPerRecord + 1) { decisionLog.append(Event.JobCancelled(spec.id)) }
        val commit = commit(maxCompactionChanges = 10)
        assertTrue(decisionLog.hasPendingRecords)
        assertTrue(commit.changes.none { it is Mutation.Delete })
        assertTrue(decisionLog.isCompactionIncomplete)
    }

    @Test
    fun `events included in a restored snapshot are recognized`() {
        val snapshot = jobs.snapshot(spec.id, LogIndex(4))
        decisionLog.restore(RecoveredState.EMPTY.copy(head = LogIndex(5), jobs = listOf(StoredJob(snapshot, parts = 1))))
        assertTrue(decisionLog.isInSnapshot(Event.JobCancelled(spec.id), LogIndex(4)))
        assertFalse(decisionLog.isInSnapshot(Event.JobCancelled(spec.id), LogIndex(5)))
        assertFalse(decisionLog.isInSnapshot(Event.JobCancelled(otherSpec.id), LogIndex(4)))
        assertEquals(LogIndex(6), decisionLog.append(Event.JobCancelled(spec.id)))
    }

    private companion object {
        const val EVENT_BYTES = 100
        const val SNAPSHOT_BYTES = 500
        const val ATTEMPT_BYTES = 50
        val NO_COMPLETED_TASKS = byteArrayOf()
    }
}
