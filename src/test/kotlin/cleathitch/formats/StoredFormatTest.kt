package cleathitch.formats

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.FinishedJobsSnapshot
import cleathitch.scheduler.log.InventorySnapshot
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.LiveAttempt
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.LogRecord
import cleathitch.scheduler.log.StoredFinishedJobs
import cleathitch.scheduler.log.StoredRecord
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.model.Term
import cleathitch.storage.LogCodec
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Values in the key-value store are encoded to, and decoded from, the bytes in the golden files, and the keys are unchanged. */
class StoredFormatTest {
    private val fullSpec = JobSpec(
        JobId("j-000412"), "fare", "red", JobKind.GANG, Priority.HIGH, 12, 2.5, 1.0, 7.25, "img-7", 3.5,
        setOf("m4", "m8"), "a", true, true, true, 120.5, 30.0, 4.5, 600.0,
    )
    private val plainSpec = JobSpec(JobId("j-7"), "mail", "blue", JobKind.ARRAY, Priority.LOW, 1, 1.0, 0.0, 2.0, "img-1", 0.5)
    private val serviceSpec = plainSpec.copy(id = JobId("j-8"), kind = JobKind.SERVICE, priority = Priority.PRODUCTION)
    private val normalSpec = plainSpec.copy(id = JobId("j-9"), priority = Priority.NORMAL)
    private val rental = Event.RentalRequested("r-7-0", Offer("m4", "a", true), 3)
    private val machine = MachineId("vm-000017")

    private val records = mapOf(
        "record-accepted" to
            LogRecord(listOf(fullSpec, plainSpec, serviceSpec, normalSpec).map { Event.JobAccepted(it, 1_764_000_000_123) }),
        "record-attempts" to LogRecord(
            listOf(
                Event.AttemptStarted(fullSpec.id, 3, 1_000_000_007, machine),
                Event.AttemptTerminated(fullSpec.id, 3, 1_000_000_007),
                Event.TaskCompleted(fullSpec.id, 3, 1_000_000_008),
                Event.JobCancelled(fullSpec.id),
            ),
        ),
        "record-fleet" to LogRecord(
            listOf(rental, Event.RentalResolved("r-7-0"), Event.MachineTerminationRequested(machine), Event.MachineTerminated(machine)),
        ),
    )
    private val completedTasks = byteArrayOf(5, -128)
    private val jobSnapshot = JobSnapshot(
        LogIndex(91),
        fullSpec,
        1_764_000_000_123,
        true,
        completedTasks,
        listOf(LiveAttempt(3, 8, machine), LiveAttempt(5, 9, MachineId("vm-2"))),
        9,
    )
    private val inventorySnapshot = InventorySnapshot(LogIndex(92), listOf(rental), listOf(machine))
    private val finishedJobs = FinishedJobsSnapshot(listOf(JobId("j-1"), JobId("j-2")), listOf(JobId("j-3")))

    private fun encoded(stored: StoredValue, parts: Int = 1): List<ByteArray> = LogCodec.encode(stored, parts).map(MessageCodec::encode)

    private fun entry(key: String, file: String) = KeyValueStoreProtocol.Entry(key, MessageCodec.decodeMap(GoldenFiles.read(file)), 1)

    @TestFactory
    fun `the encoding of log records is unchanged`() = records.map { (name, record) ->
        DynamicTest.dynamicTest(name) {
            GoldenFiles.assertMatches(name, encoded(StoredValue.Record(record)).single())
            val recovered = LogCodec.decodeRecoveredState(listOf(entry("r/0000000000000000091", name)))
            assertEquals(listOf(StoredRecord(LogIndex(91), record)), recovered.records)
        }
    }

    @Test
    fun `the encoding of a job snapshot in two parts with live attempts is unchanged`() {
        val parts = encoded(StoredValue.Job(jobSnapshot), parts = 2)
        parts.forEachIndexed { part, bytes -> GoldenFiles.assertMatches("job-part-$part", bytes) }
        val recovered = LogCodec.decodeRecoveredState(List(2) { part -> entry("j/j-000412/$part", "job-part-$part") })
        val stored = recovered.jobs.single()
        assertEquals(2, stored.parts)
        assertArrayEquals(completedTasks, stored.snapshot.completedTasks)
        assertEquals(jobSnapshot, stored.snapshot.copy(completedTasks = completedTasks))
    }

    @Test
    fun `the encoding of an inventory snapshot with pending rentals and terminating machines is unchanged`() {
        GoldenFiles.assertMatches("fleet", encoded(StoredValue.Inventory(inventorySnapshot)).single())
        assertEquals(inventorySnapshot, LogCodec.decodeRecoveredState(listOf(entry("fleet", "fleet"))).inventory)
    }

    @Test
    fun `the encoding of the final states of jobs is unchanged`() {
        GoldenFiles.assertMatches("finals", encoded(StoredValue.FinishedJobs(finishedJobs)).single())
        assertEquals(
            listOf(StoredFinishedJobs(4, finishedJobs)),
            LogCodec.decodeRecoveredState(listOf(entry("f/0000000000000000004", "finals"))).finishedJobs,
        )
    }

    @Test
    fun `the encoding of the head is unchanged`() {
        GoldenFiles.assertMatches("head", encoded(StoredValue.Head(LogIndex(93), Term(812))).single())
        assertEquals(StoredValue.Head(LogIndex(93), Term(812)), LogCodec.decodeHead(MessageCodec.decodeMap(GoldenFiles.read("head"))))
        assertEquals(LogIndex(93), LogCodec.decodeRecoveredState(listOf(entry("head", "head"))).head)
    }

    @Test
    fun `keys are unchanged`() {
        assertEquals("head", LogKeys.HEAD)
        assertEquals("fleet", LogKeys.INVENTORY)
        assertEquals("r/0000000000000000091", LogKeys.record(LogIndex(91)))
        assertEquals("f/0000000000000000004", LogKeys.finishedJobs(4))
        assertEquals("j/j-000412", LogKeys.job(fullSpec.id))
    }
}
