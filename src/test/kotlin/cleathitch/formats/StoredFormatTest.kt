package cleathitch.formats

import cleathitch.core.Event
import cleathitch.core.FinalsCell
import cleathitch.core.FleetCell
import cleathitch.core.JobCell
import cleathitch.core.JobId
import cleathitch.core.JobKind
import cleathitch.core.JobSpec
import cleathitch.core.Journal
import cleathitch.core.LiveAttempt
import cleathitch.core.MachineId
import cleathitch.core.Offer
import cleathitch.core.Priority
import cleathitch.core.Record
import cleathitch.core.Seq
import cleathitch.core.Stored
import cleathitch.core.Term
import cleathitch.protocol.StateWire
import cleathitch.protocol.Wire
import cleathitch.state.StoredCodec
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** What stands in the key-value store is written and read byte for byte as by the version that pinned it. */
class StoredFormatTest {
    private val fullSpec = JobSpec(
        JobId("j-000412"), "fare", "red", JobKind.GANG, Priority.HIGH, 12, 2.5, 1.0, 7.25, "img-7", 3.5,
        setOf("m4", "m8"), "a", true, true, true, 120.5, 30.0, 4.5, 600.0,
    )
    private val plainSpec = JobSpec(JobId("j-7"), "mail", "blue", JobKind.ARRAY, Priority.LOW, 1, 1.0, 0.0, 2.0, "img-1", 0.5)
    private val serviceSpec = plainSpec.copy(id = JobId("j-8"), kind = JobKind.SERVICE, priority = Priority.PRODUCTION)
    private val normalSpec = plainSpec.copy(id = JobId("j-9"), priority = Priority.NORMAL)
    private val rental = Event.RentalAsked("r-7-0", Offer("m4", "a", true), 3)
    private val machine = MachineId("vm-000017")

    private val records = mapOf(
        "record-accepted" to Record(listOf(fullSpec, plainSpec, serviceSpec, normalSpec).map { Event.JobAccepted(it, 1_764_000_000_123) }),
        "record-attempts" to Record(
            listOf(
                Event.AttemptStarted(fullSpec.id, 3, 1_000_000_007, machine),
                Event.AttemptOver(fullSpec.id, 3, 1_000_000_007),
                Event.TaskDone(fullSpec.id, 3, 1_000_000_008),
                Event.JobCancelled(fullSpec.id),
            ),
        ),
        "record-fleet" to Record(
            listOf(rental, Event.RentalSettled("r-7-0"), Event.MachineRetired(machine), Event.MachineGone(machine)),
        ),
    )
    private val done = byteArrayOf(5, -128)
    private val jobCell = JobCell(
        91,
        fullSpec,
        1_764_000_000_123,
        true,
        done,
        listOf(LiveAttempt(3, 8, machine), LiveAttempt(5, 9, MachineId("vm-2"))),
        9,
    )
    private val fleetCell = FleetCell(92, listOf(rental), listOf(machine))
    private val finalsCell = FinalsCell(listOf(JobId("j-1"), JobId("j-2")), listOf(JobId("j-3")))

    private fun encoded(stored: Stored, parts: Int = 1): List<ByteArray> = StoredCodec.encode(stored, parts).map(Wire::encode)

    private fun entry(key: String, file: String) = StateWire.Entry(key, Wire.decodeMap(PinnedBytes.read(file)), 1)

    @TestFactory
    fun `records keep their form`() = records.map { (name, record) ->
        DynamicTest.dynamicTest(name) {
            PinnedBytes.assertUnchanged(name, encoded(Stored.OfRecord(record)).single())
            val snapshot = StoredCodec.snapshot(listOf(entry("r/0000000000000000091", name)))
            assertEquals(listOf(Seq(91) to record), snapshot.records)
        }
    }

    @Test
    fun `a job in two parts with live attempts keeps its form`() {
        val parts = encoded(Stored.OfJob(jobCell), parts = 2)
        parts.forEachIndexed { part, bytes -> PinnedBytes.assertUnchanged("job-part-$part", bytes) }
        val snapshot = StoredCodec.snapshot(List(2) { part -> entry("j/j-000412/$part", "job-part-$part") })
        val read = snapshot.jobs.single()
        assertEquals(2, read.parts)
        assertArrayEquals(done, read.cell.done)
        assertEquals(jobCell, read.cell.copy(done = done))
    }

    @Test
    fun `rentals and returns keep their form`() {
        PinnedBytes.assertUnchanged("fleet", encoded(Stored.OfFleet(fleetCell)).single())
        assertEquals(fleetCell, StoredCodec.snapshot(listOf(entry("fleet", "fleet"))).fleet)
    }

    @Test
    fun `final states keep their form`() {
        PinnedBytes.assertUnchanged("finals", encoded(Stored.Finals(finalsCell)).single())
        assertEquals(listOf(4L to finalsCell), StoredCodec.snapshot(listOf(entry("f/0000000000000000004", "finals"))).finals)
    }

    @Test
    fun `the head keeps its form`() {
        PinnedBytes.assertUnchanged("head", encoded(Stored.Head(Seq(93), Term(812))).single())
        assertEquals(Stored.Head(Seq(93), Term(812)), StoredCodec.head(Wire.decodeMap(PinnedBytes.read("head"))))
        assertEquals(Seq(93), StoredCodec.snapshot(listOf(entry("head", "head"))).head)
    }

    @Test
    fun `keys keep their form`() {
        assertEquals("head", Journal.HEAD)
        assertEquals("fleet", Journal.FLEET)
        assertEquals("r/0000000000000000091", Journal.recordKey(Seq(91)))
        assertEquals("f/0000000000000000004", Journal.finalsKey(4))
        assertEquals("j/j-000412", Journal.jobKey(fullSpec.id))
    }
}
