package cleathitch.core

import kotlin.math.ceil

/** A record in the state service, as far as trimming it goes. */
internal class StoredRecord(events: List<Event>) {
    val cells = events.mapTo(LinkedHashSet(), Journal::cellOf)

    /** Starts that no report has shown yet, as far as was looked. */
    private val starts = events.filterIsInstance<Event.AttemptStarted>()
        .mapTo(ArrayList()) { AttemptId(TaskId(it.job, it.index), it.number) }

    /** As the design asks: a start stays on record until a report has shown it. */
    fun hasUnseenStarts(ledger: Ledger): Boolean {
        starts.removeIf { id -> ledger.attempt(id)?.let { it.seen != null } ?: true }
        return starts.isNotEmpty()
    }
}

/** The value that final states are being added to, as it stands in the state service. */
internal class FinalsChunk(val number: Long, private val done: List<JobId>, private val cancelled: List<JobId>) {
    private val bytes = (done + cancelled).sumOf(::bytesOf)

    val cell get() = FinalsCell(done, cancelled)

    /** With [jobs] added; a chunk of more than [limitBytes] is left, and a new one begun. */
    fun plus(jobs: List<Job>, limitBytes: Double): FinalsChunk {
        val base = if (bytes > limitBytes) FinalsChunk(number + 1, emptyList(), emptyList()) else this
        val (newlyCancelled, newlyDone) = jobs.partition { it.cancelled }
        return FinalsChunk(base.number, base.done + newlyDone.map { it.id }, base.cancelled + newlyCancelled.map { it.id })
    }

    companion object {
        val FIRST = FinalsChunk(0, emptyList(), emptyList())
        private const val ID_OVERHEAD = 4

        /** What a job's id takes in a chunk. */
        fun bytesOf(id: JobId) = id.text.length + ID_OVERHEAD
    }
}

/**
 * The part of one transaction that folds cells, archives jobs that are over and deletes records that are folded.
 *
 * It only plans: nothing in memory changes before the transaction is committed. The end of an archived job is told at once,
 * and a leader that ends before the write would have told what its successor denies.
 */
internal class TrimPlan(
    private val seq: Seq,
    private val limits: Limits,
    private val ledger: Ledger,
    private val sizes: Journal.Sizes,
    private val fleetCell: (Seq) -> FleetCell,
    private val foldedBefore: Map<String, Seq>,
    private val finalsBefore: FinalsChunk,
) {
    /** What a trim may take: of its transaction [changes] and [bytes]; of a value [valueBytes], or [finalsBytes] of final states. */
    class Limits(val changes: Int, val bytes: Double, val valueBytes: Double, val finalsBytes: Double)

    private val planned = ArrayList<Change>()
    private var bytes = 0

    val deletedRecords = ArrayList<Seq>()
    val folded = HashMap<String, Seq>()
    val archived = ArrayList<Job>()

    /** In how many parts each folded job's cell stands after the transaction. */
    val partsWritten = HashMap<Job, Int>()

    /** The chunk of final states after the transaction. */
    val finals by lazy { if (archived.isEmpty()) finalsBefore else finalsBefore.plus(archived, limits.finalsBytes) }

    /** Something was left over for want of changes or bytes; nothing more has room. */
    var cutShort = false
        private set

    /** All changes of the plan, once it is complete. */
    fun changes(): List<Change> =
        if (archived.isEmpty()) planned else planned + Change.Put(Journal.finalsKey(finals.number), Stored.Finals(finals.cell))

    /** Folds the cells of a record and deletes it, as far as there is room. */
    fun take(record: Seq, content: StoredRecord) {
        if (content.hasUnseenStarts(ledger)) return
        for (cell in content.cells) {
            if (foldedUpTo(cell) >= record) continue
            if (!hasRoom() || !fold(cell)) {
                cutShort = true
                return
            }
            folded[cell] = seq
        }
        if (planned.size >= limits.changes) {
            cutShort = true
            return
        }
        deletedRecords += record
        planned += Change.Delete(Journal.recordKey(record))
    }

    private fun foldedUpTo(cell: String) = folded[cell] ?: foldedBefore[cell] ?: Seq.NONE

    private fun hasRoom() = planned.size < limits.changes && bytes < limits.bytes

    /** False if the cell is too large for what is left of the transaction. */
    private fun fold(cell: String): Boolean {
        if (cell == Journal.FLEET) {
            planned += Change.Put(Journal.FLEET, Stored.OfFleet(fleetCell(seq)))
            return true
        }
        // A job that isn't known any more was archived by an earlier trim.
        val job = ledger.job(JobId(cell.removePrefix(Journal.JOB_PREFIX))) ?: return true
        if (!job.over || job.live.isNotEmpty()) return foldOpen(job)
        archive(job)
        return true
    }

    private fun foldOpen(job: Job): Boolean {
        val stored = ledger.cellOf(job, seq)
        val size = sizes.of(stored)
        if (bytes > 0 && bytes + size > limits.bytes) return false
        bytes += size
        val parts = maxOf(job.partsWritten, ceil(size / limits.valueBytes).toInt())
        partsWritten[job] = parts
        planned += Change.Put(Journal.jobKey(job.id), Stored.OfJob(stored), parts)
        return true
    }

    private fun archive(job: Job) {
        archived += job
        repeat(job.partsWritten) { planned += Change.Delete("${Journal.jobKey(job.id)}/$it") }
        bytes += FinalsChunk.bytesOf(job.id)
    }
}
