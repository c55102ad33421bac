package cleathitch.scheduler.log

import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.Term
import java.util.TreeMap

/**
 * The log in the state service: which record each event goes to, what has been committed, and which
 * records can be trimmed because the cells they touch were folded later.
 */
class DecisionLog(private val deployment: Deployment, private val sizes: Sizes) {
    /** Tells how large something becomes when stored; the codec's business, not the core's. */
    interface Sizes {
        fun of(event: Event): Int
        fun of(cell: JobSnapshot): Int
    }

    private class Building(val seq: LogIndex) {
        val events = ArrayList<Event>()
        var bytes = 0
    }

    /** A transaction under way, and what becomes true in memory once it is committed, not before. */
    private class InFlight(val seq: LogIndex, val written: Map<LogIndex, RetainedRecord>, val trim: CompactionPlan?)

    private val queue = ArrayDeque<Building>()
    private var inFlight: InFlight? = null
    private var last = LogIndex.NONE
    var committedIndex = LogIndex.NONE
        private set

    /** Records in the state service, each with the cells that it touches. */
    private val kept = TreeMap<LogIndex, RetainedRecord>()
    private val foldedUpTo = HashMap<String, LogIndex>()
    private var finals = FinishedJobsChunk.FIRST

    val idle get() = inFlight == null
    val pending get() = queue.isNotEmpty()

    /** Records that wait for a commit. */
    val backlog get() = queue.size

    /** The last trim left something over for want of changes or bytes. */
    var trimCutShort = false
        private set

    /** Notes an event for the next commit and tells in which record it will be. */
    fun append(event: Event): LogIndex {
        val size = sizes.of(event)
        val limit = deployment.stateValueBytes * RECORD_FILL
        val current = queue.lastOrNull()?.takeIf { it.bytes + size <= limit }
            ?: Building(last.next()).also {
                last = it.seq
                queue.addLast(it)
            }
        current.events += event
        current.bytes += size
        return current.seq
    }

    /** Makes room for as many starts in one record, if one can hold them. */
    fun keepTogether(starts: List<Event.AttemptStarted>) {
        val size = starts.sumOf(sizes::of)
        val limit = deployment.stateValueBytes * RECORD_FILL
        val current = queue.lastOrNull() ?: return
        if (size <= limit && current.bytes + size > limit) {
            last = last.next()
            queue.addLast(Building(last))
        }
    }

    /** Restores the position; [records] are those found, oldest first. */
    fun restore(
        head: LogIndex,
        records: List<Pair<LogIndex, LogRecord>>,
        finals: List<Pair<Long, FinishedJobsSnapshot>>,
        folded: Map<String, LogIndex>,
    ) {
        last = head
        committedIndex = head
        records.forEach { (seq, record) -> kept[seq] = RetainedRecord(record.events) }
        foldedUpTo.putAll(folded)
        finals.maxByOrNull { it.first }?.let { (number, cell) -> this.finals = FinishedJobsChunk(number, cell.done, cell.cancelled) }
    }

    /** The next transaction, if none is under way and there is something to write; trims with up to [trimChanges]. */
    fun next(term: Term, jobTable: JobTable, fleetCell: (LogIndex) -> InventorySnapshot, trimChanges: Int): Commit? {
        if (inFlight != null) return null
        if (queue.isEmpty() && (trimChanges == 0 || kept.isEmpty())) {
            trimCutShort = false
            return null
        }
        val records = ArrayList<Building>()
        var bytes = 0
        while (queue.isNotEmpty() && records.size < deployment.stateTxnOps / 4) {
            bytes += queue.first().bytes
            if (records.isNotEmpty() && bytes > TXN_BYTES * TXN_FILL) break
            records += queue.removeFirst()
        }
        val seq = records.lastOrNull()?.seq ?: last.next().also { last = it }
        val changes = ArrayList<Mutation>()
        changes += Mutation.Put(HEAD, StoredValue.Head(seq, term))
        records.mapTo(changes) { Mutation.Put(recordKey(it.seq), StoredValue.OfRecord(LogRecord(it.events.toList()))) }
        // The state in memory is the state after this record only if no later one is waiting.
        val mayTrim = trimChanges > 0 && queue.isEmpty()
        val trim = if (mayTrim) planTrim(seq, jobTable, fleetCell, changes.size, trimChanges) else null
        trimCutShort = trim?.cutShort ?: (trimChanges > 0)
        trim?.let { changes += it.changes() }
        inFlight = InFlight(seq, records.associate { it.seq to RetainedRecord(it.events) }, trim)
        return Commit(seq, changes)
    }

    private fun planTrim(
        seq: LogIndex,
        jobTable: JobTable,
        fleetCell: (LogIndex) -> InventorySnapshot,
        changes: Int,
        trimChanges: Int,
    ): CompactionPlan {
        val limits = CompactionPlan.Limits(
            changes = trimChanges,
            bytes = TXN_BYTES * TXN_FILL,
            valueBytes = deployment.stateValueBytes * RECORD_FILL,
            finalsBytes = deployment.stateValueBytes * FINALS_FILL,
        )
        return CompactionPlan(seq, limits, jobTable, sizes, fleetCell, foldedUpTo, finals).also { plan ->
            // A record of this very transaction stays.
            kept.headMap(seq).forEach { (record, content) -> if (!plan.cutShort) plan.take(record, content) }
        }
    }

    /** The transaction under way was carried out: what it folds, archives and deletes takes effect now. */
    fun committed(seq: LogIndex, jobTable: JobTable) {
        val done = inFlight
        check(done?.seq == seq) { "commit ${done?.seq} was under way, not $seq" }
        inFlight = null
        committedIndex = seq
        kept += done.written
        done.trim?.let { applyTrim(it, jobTable) }
    }

    private fun applyTrim(trim: CompactionPlan, jobTable: JobTable) {
        trim.deletedRecords.forEach(kept::remove)
        foldedUpTo += trim.folded
        trim.partsWritten.forEach { (job, parts) -> job.partsWritten = parts }
        finals = trim.finals
        for (job in trim.archived) {
            jobTable.archive(job)
            foldedUpTo.remove(JOB_PREFIX + job.id.text)
        }
    }

    companion object {
        const val HEAD = "head"
        const val FLEET = "fleet"
        const val JOB_PREFIX = "j/"
        const val RECORD_PREFIX = "r/"
        const val FINALS_PREFIX = "f/"

        /** Of a value's limit: room for the encoding's own overhead, as limits are counted in JSON form. */
        private const val RECORD_FILL = 0.8
        private const val FINALS_FILL = 0.5

        /** The page's limit for a transaction, and how much of it a trim may take. */
        private const val TXN_BYTES = 65_536
        private const val TXN_FILL = 0.4

        fun recordKey(seq: LogIndex) = RECORD_PREFIX + seq.number.toString().padStart(19, '0')
        fun jobKey(job: JobId) = JOB_PREFIX + job.text
        fun finalsKey(chunk: Long) = FINALS_PREFIX + chunk.toString().padStart(19, '0')

        /** The cell that an event changes. */
        fun cellOf(event: Event): String = when (event) {
            is Event.JobEvent -> JOB_PREFIX + event.job.text
            is Event.InventoryEvent -> FLEET
        }
    }
}
