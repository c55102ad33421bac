package cleathitch.core

import java.util.TreeMap

/** A change to the state service; keys are relative to the deployment's own prefix. */
sealed interface Change {
    val key: String

    /** A value too long for one key stands under [key]`/0`, `/1` and so on, in [parts] parts. */
    data class Put(override val key: String, val value: Stored, val parts: Int = 1) : Change
    data class Delete(override val key: String) : Change
}

/** What can stand under a key. */
sealed interface Stored {
    data class Head(val seq: Seq, val term: Term) : Stored
    data class OfRecord(val record: Record) : Stored
    data class OfJob(val cell: JobCell) : Stored
    data class OfFleet(val cell: FleetCell) : Stored
    data class Finals(val cell: FinalsCell) : Stored
}

/** One transaction: the record [seq] and whatever folds and trims go with it. */
data class Commit(val seq: Seq, val changes: List<Change>)

/**
 * The log in the state service: which record each event goes to, what has been committed, and which
 * records can be trimmed because the cells they touch were folded later.
 */
class Journal(private val deployment: Deployment, private val sizes: Sizes) {
    /** Tells how large something becomes when stored; the codec's business, not the core's. */
    interface Sizes {
        fun of(event: Event): Int
        fun of(cell: JobCell): Int
    }

    private class Building(val seq: Seq) {
        val events = ArrayList<Event>()
        var bytes = 0
    }

    /** A transaction under way, and what becomes true in memory once it is committed, not before. */
    private class InFlight(val seq: Seq, val written: Map<Seq, StoredRecord>, val trim: TrimPlan?)

    private val queue = ArrayDeque<Building>()
    private var inFlight: InFlight? = null
    private var last = Seq.NONE
    var committed = Seq.NONE
        private set

    /** Records in the state service, each with the cells that it touches. */
    private val kept = TreeMap<Seq, StoredRecord>()
    private val foldedUpTo = HashMap<String, Seq>()
    private var finals = FinalsChunk.FIRST

    val idle get() = inFlight == null
    val pending get() = queue.isNotEmpty()

    /** Records that wait for a commit. */
    val backlog get() = queue.size

    /** The last trim left something over for want of changes or bytes. */
    var trimCutShort = false
        private set

    /** Notes an event for the next commit and tells in which record it will be. */
    fun append(event: Event): Seq {
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
    fun restore(head: Seq, records: List<Pair<Seq, Record>>, finals: List<Pair<Long, FinalsCell>>, folded: Map<String, Seq>) {
        last = head
        committed = head
        records.forEach { (seq, record) -> kept[seq] = StoredRecord(record.events) }
        foldedUpTo.putAll(folded)
        finals.maxByOrNull { it.first }?.let { (number, cell) -> this.finals = FinalsChunk(number, cell.done, cell.cancelled) }
    }

    /** The next transaction, if none is under way and there is something to write; trims with up to [trimChanges]. */
    fun next(term: Term, ledger: Ledger, fleetCell: (Seq) -> FleetCell, trimChanges: Int): Commit? {
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
        val changes = ArrayList<Change>()
        changes += Change.Put(HEAD, Stored.Head(seq, term))
        records.mapTo(changes) { Change.Put(recordKey(it.seq), Stored.OfRecord(Record(it.events.toList()))) }
        // The state in memory is the state after this record only if no later one is waiting.
        val mayTrim = trimChanges > 0 && queue.isEmpty()
        val trim = if (mayTrim) planTrim(seq, ledger, fleetCell, changes.size, trimChanges) else null
        trimCutShort = trim?.cutShort ?: (trimChanges > 0)
        trim?.let { changes += it.changes() }
        inFlight = InFlight(seq, records.associate { it.seq to StoredRecord(it.events) }, trim)
        return Commit(seq, changes)
    }

    private fun planTrim(seq: Seq, ledger: Ledger, fleetCell: (Seq) -> FleetCell, changes: Int, trimChanges: Int): TrimPlan {
        val limits = TrimPlan.Limits(
            changes = trimChanges,
            bytes = TXN_BYTES * TXN_FILL,
            valueBytes = deployment.stateValueBytes * RECORD_FILL,
            finalsBytes = deployment.stateValueBytes * FINALS_FILL,
        )
        return TrimPlan(seq, limits, ledger, sizes, fleetCell, foldedUpTo, finals).also { plan ->
            // A record of this very transaction stays.
            kept.headMap(seq).forEach { (record, content) -> if (!plan.cutShort) plan.take(record, content) }
        }
    }

    /** The transaction under way was carried out: what it folds, archives and deletes takes effect now. */
    fun committed(seq: Seq, ledger: Ledger) {
        val done = inFlight
        check(done?.seq == seq) { "commit ${done?.seq} was under way, not $seq" }
        inFlight = null
        committed = seq
        kept += done.written
        done.trim?.let { applyTrim(it, ledger) }
    }

    private fun applyTrim(trim: TrimPlan, ledger: Ledger) {
        trim.deletedRecords.forEach(kept::remove)
        foldedUpTo += trim.folded
        trim.partsWritten.forEach { (job, parts) -> job.partsWritten = parts }
        finals = trim.finals
        for (job in trim.archived) {
            ledger.archive(job)
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

        fun recordKey(seq: Seq) = RECORD_PREFIX + seq.number.toString().padStart(19, '0')
        fun jobKey(job: JobId) = JOB_PREFIX + job.text
        fun finalsKey(chunk: Long) = FINALS_PREFIX + chunk.toString().padStart(19, '0')

        /** The cell that an event changes. */
        fun cellOf(event: Event): String = when (event) {
            is Event.OfJob -> JOB_PREFIX + event.job.text
            is Event.OfFleet -> FLEET
        }
    }
}
