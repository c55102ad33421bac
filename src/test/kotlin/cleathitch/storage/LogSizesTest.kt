package cleathitch.storage

import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.LiveAttempt
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.LogRecord
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The calculated sizes are those of the encoded form, to the byte. A size that is too small lets a commit exceed a limit. */
class LogSizesTest {
    private val sizes = LogSizes("cleathitch/", "leader/cleathitch")
    private val numbers = listOf(0L, 23, 24, 255, 256, 65_535, 65_536, 0xffff_ffffL, 0x1_0000_0000L, Long.MAX_VALUE)
    private val machines = listOf(
        "",
        "vm-1",
        "v".repeat(23),
        "v".repeat(24),
        "v".repeat(256),
        "ñ".repeat(128),
        "機".repeat(100),
    ).map(::MachineId)
    private val jobs = listOf("j-1", "j-000412", "j-" + "9".repeat(18)).map(::JobId)
    private val taskIndexes = listOf(0, 23, 24, 255, 256, 65_535, 65_536, 99_999)

    private val events: List<Event> = jobs.flatMap { job ->
        numbers.flatMap { number ->
            taskIndexes.flatMap { task ->
                listOf(Event.AttemptTerminated(job, task, number), Event.TaskCompleted(job, task, number)) +
                    machines.map { Event.AttemptStarted(job, task, number, it) }
            }
        }
    } + jobs.map { Event.JobCancelled(it) } + Event.JobAccepted(SimulatedCluster.jobSpec(1), 5) + Event.MachineTerminated(machines[1])

    private val snapshot = JobSnapshot(LogIndex(9), SimulatedCluster.jobSpec(1), 5, false, ByteArray(100) { -1 }, emptyList(), 7)

    private fun commit(vararg changes: Mutation) =
        Commit(LogIndex(1), listOf(Mutation.Put(LogKeys.HEAD, StoredValue.Head(LogIndex(Long.MAX_VALUE), Term(Long.MAX_VALUE)))) + changes)

    private fun bytesAddedBy(vararg changes: Mutation) =
        TransactionLimits.transaction(commit(*changes)).size.bytes - sizes.headTransactionBytes

    @Test
    fun `each event adds the bytes to its record that were calculated for it`() {
        val empty = sizes.encodedBytes(StoredValue.Record(LogRecord(emptyList())))
        events.forEach { event ->
            assertEquals(empty + sizes.encodedBytes(event), sizes.encodedBytes(StoredValue.Record(LogRecord(listOf(event)))), "$event")
        }
        val all = StoredValue.Record(LogRecord(events))
        assertEquals(empty + events.sumOf(sizes::encodedBytes), sizes.encodedBytes(all))
        assertEquals(MessageCodec.jsonBytes(LogCodec.encode(all, 1).single()), sizes.valueBytes(sizes.encodedBytes(all)))
    }

    @Test
    fun `each live attempt adds the bytes to its snapshot that were calculated for it`() {
        val attempts = numbers.flatMap { number -> machines.flatMap { machine -> taskIndexes.map { LiveAttempt(it, number, machine) } } }
        val withAttempts = StoredValue.Job(snapshot.copy(liveAttempts = attempts))
        assertEquals(
            sizes.encodedBytes(withAttempts),
            sizes.encodedBytes(StoredValue.Job(snapshot)) + attempts.sumOf(sizes::encodedBytes),
        )
    }

    @Test
    fun `writes and deletions add the bytes to their transaction that were calculated for them`() {
        assertEquals(0, bytesAddedBy())
        val record = StoredValue.Record(LogRecord(events.take(50)))
        val key = LogKeys.record(LogIndex(3))
        val put = Mutation.Put(key, record)
        assertEquals(sizes.putBytes(listOf(key), sizes.encodedBytes(record)), bytesAddedBy(put))
        assertEquals(sizes.deleteBytes(key), bytesAddedBy(put, Mutation.Delete(key)) - bytesAddedBy(put))
    }

    @Test
    fun `the parts of a snapshot are no larger than the limit, and there is none too many`() {
        val bytes = sizes.encodedBytes(StoredValue.Job(snapshot))
        for (limit in 40..600) {
            val parts = sizes.partsFor(bytes, limit)
            val values = LogCodec.encode(StoredValue.Job(snapshot), parts)
            assertEquals(emptyList<Int>(), values.map(MessageCodec::jsonBytes).filter { it > limit })
            assertEquals(
                parts,
                (1..parts).first { n ->
                    LogCodec.encode(StoredValue.Job(snapshot), n).all {
                        MessageCodec.jsonBytes(it) <=
                            limit
                    }
                },
            )
            val put = Mutation.Put(LogKeys.job(snapshot.spec.id), StoredValue.Job(snapshot), parts)
            assertEquals(sizes.putBytes(LogKeys.jobParts(snapshot.spec.id, parts), bytes), bytesAddedBy(put))
        }
    }
}
