package cleathitch.scheduler.log

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.JobId
import kotlin.math.ceil

/**
 * The part of one transaction that folds cells, archives jobs that are over and deletes records that are folded.
 *
 * It only plans: nothing in memory changes before the transaction is committed. The end of an archived job is told at once,
 * and a leader that ends before the write would have told what its successor denies.
 */
internal class CompactionPlan(
    private val seq: LogIndex,
    private val limits: Limits,
    private val jobTable: JobTable,
    private val sizes: DecisionLog.Sizes,
    private val fleetCell: (LogIndex) -> InventorySnapshot,
    private val foldedBefore: Map<String, LogIndex>,
    private val finalsBefore: FinishedJobsChunk,
) {
    /** What a trim may take: of its transaction [changes] and [bytes]; of a value [valueBytes], or [finalsBytes] of final states. */
    class Limits(val changes: Int, val bytes: Double, val valueBytes: Double, val finalsBytes: Double)

    private val planned = ArrayList<Mutation>()
    private var bytes = 0

    val deletedRecords = ArrayList<LogIndex>()
    val folded = HashMap<String, LogIndex>()
    val archived = ArrayList<Job>()

    /** In how many parts each folded job's cell stands after the transaction. */
    val partsWritten = HashMap<Job, Int>()

    /** The chunk of final states after the transaction. */
    val finals by lazy { if (archived.isEmpty()) finalsBefore else finalsBefore.plus(archived, limits.finalsBytes) }

    /** Something was left over for want of changes or bytes; nothing more has room. */
    var cutShort = false
        private set

    /** All changes of the plan, once it is complete. */
    fun changes(): List<Mutation> =
        if (archived.isEmpty()) planned else planned + Mutation.Put(DecisionLog.finalsKey(finals.number), StoredValue.Finals(finals.cell))

    /** Folds the cells of a record and deletes it, as far as there is room. */
    fun take(record: LogIndex, content: RetainedRecord) {
        if (content.hasUnseenStarts(jobTable)) return
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
        planned += Mutation.Delete(DecisionLog.recordKey(record))
    }

    private fun foldedUpTo(cell: String) = folded[cell] ?: foldedBefore[cell] ?: LogIndex.NONE

    private fun hasRoom() = planned.size < limits.changes && bytes < limits.bytes

    /** False if the cell is too large for what is left of the transaction. */
    private fun fold(cell: String): Boolean {
        if (cell == DecisionLog.FLEET) {
            planned += Mutation.Put(DecisionLog.FLEET, StoredValue.OfFleet(fleetCell(seq)))
            return true
        }
        // A job that isn't known any more was archived by an earlier trim.
        val job = jobTable.job(JobId(cell.removePrefix(DecisionLog.JOB_PREFIX))) ?: return true
        if (!job.isOver || job.liveAttempts.isNotEmpty()) return foldOpen(job)
        archive(job)
        return true
    }

    private fun foldOpen(job: Job): Boolean {
        val stored = jobTable.cellOf(job, seq)
        val size = sizes.of(stored)
        if (bytes > 0 && bytes + size > limits.bytes) return false
        bytes += size
        val parts = maxOf(job.partsWritten, ceil(size / limits.valueBytes).toInt())
        partsWritten[job] = parts
        planned += Mutation.Put(DecisionLog.jobKey(job.id), StoredValue.OfJob(stored), parts)
        return true
    }

    private fun archive(job: Job) {
        archived += job
        repeat(job.partsWritten) { planned += Mutation.Delete("${DecisionLog.jobKey(job.id)}/$it") }
        bytes += FinishedJobsChunk.bytesOf(job.id)
    }
}
