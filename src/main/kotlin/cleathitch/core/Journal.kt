package cleathitch.core

import java.util.TreeMap
import kotlin.math.ceil

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

    private class Kept(record: List<Event>) {
        val cells = record.mapTo(HashSet(), ::cellOf)

        /** Starts that no report has shown yet, as far as was looked. */
        val starts = record.filterIsInstance<Event.AttemptStarted>()
            .mapTo(ArrayList()) { AttemptId(TaskId(it.job, it.index), it.number) }
    }

    private val queue = ArrayDeque<Building>()
    private var inFlight: Commit? = null
    private var last = Seq.NONE
    var committed = Seq.NONE
        private set

    /** Records in the state service, each with the cells that it touches. */
    private val kept = TreeMap<Seq, Kept>()
    private val foldedUpTo = HashMap<String, Seq>()
    private val finalsDone = ArrayList<JobId>()
    private val finalsCancelled = ArrayList<JobId>()
    private var finalsChunk = 0L
    private var finalsBytes = 0

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
        records.forEach { (seq, record) -> kept[seq] = Kept(record.events) }
        foldedUpTo.putAll(folded)
        finals.maxByOrNull { it.first }?.let { (chunk, cell) ->
            finalsChunk = chunk
            finalsDone += cell.done
            finalsCancelled += cell.cancelled
            finalsBytes = (cell.done + cell.cancelled).sumOf { it.text.length + ID_OVERHEAD }
        }
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
        for (record in records) {
            changes += Change.Put(recordKey(record.seq), Stored.OfRecord(Record(record.events.toList())))
            kept[record.seq] = Kept(record.events)
        }
        // The state in memory is the state after this record only if no later one is waiting.
        trimCutShort = trimChanges > 0
        if (trimChanges > 0 && queue.isEmpty()) trim(seq, ledger, fleetCell, changes, changes.size + trimChanges)
        return Commit(seq, changes).also { inFlight = it }
    }

    fun committed(seq: Seq) {
        check(inFlight?.seq == seq) { "commit ${inFlight?.seq} was under way, not $seq" }
        inFlight = null
        committed = seq
    }

    private fun trim(seq: Seq, ledger: Ledger, fleetCell: (Seq) -> FleetCell, changes: MutableList<Change>, opLimit: Int) {
        trimCutShort = false
        var bytes = 0
        val byteLimit = TXN_BYTES * TXN_FILL
        val finished = ArrayList<Job>()
        records@ for ((record, content) in kept.entries.toList()) {
            if (record == seq) break
            // As the design asks: a start stays on record until a report has shown it.
            content.starts.removeIf { id -> ledger.attempt(id)?.let { it.seen != null } ?: true }
            if (content.starts.isNotEmpty()) continue
            for (cell in content.cells) {
                if ((foldedUpTo[cell] ?: Seq.NONE) >= record) continue
                if (changes.size >= opLimit || bytes >= byteLimit) {
                    trimCutShort = true
                    break@records
                }
                if (cell == FLEET) {
                    changes += Change.Put(FLEET, Stored.OfFleet(fleetCell(seq)))
                } else {
                    val job = ledger.job(JobId(cell.removePrefix(JOB_PREFIX)))
                    if (job == null) {
                        foldedUpTo[cell] = seq // archived by an earlier trim
                        continue
                    }
                    if (job.over && job.live.isEmpty()) {
                        finished += job
                        repeat(job.partsWritten) { changes += Change.Delete("${jobKey(job.id)}/$it") }
                        bytes += job.id.text.length + ID_OVERHEAD
                    } else {
                        val stored = ledger.cellOf(job, seq)
                        val size = sizes.of(stored)
                        if (bytes > 0 && bytes + size > byteLimit) {
                            trimCutShort = true
                            break@records
                        }
                        bytes += size
                        val parts = ceil(size / (deployment.stateValueBytes * RECORD_FILL)).toInt()
                        job.partsWritten = maxOf(job.partsWritten, parts)
                        changes += Change.Put(jobKey(job.id), Stored.OfJob(stored), job.partsWritten)
                    }
                }
                foldedUpTo[cell] = seq
            }
            if (changes.size >= opLimit) {
                trimCutShort = true
                break
            }
            kept.remove(record)
            changes += Change.Delete(recordKey(record))
        }
        archive(finished, ledger, changes)
    }

    private fun archive(finished: List<Job>, ledger: Ledger, changes: MutableList<Change>) {
        if (finished.isEmpty()) return
        if (finalsBytes > deployment.stateValueBytes * FINALS_FILL) {
            finalsChunk++
            finalsBytes = 0
            finalsDone.clear()
            finalsCancelled.clear()
        }
        for (job in finished) {
            (if (job.cancelled) finalsCancelled else finalsDone) += job.id
            finalsBytes += job.id.text.length + ID_OVERHEAD
            ledger.archive(job)
            foldedUpTo.remove(JOB_PREFIX + job.id.text)
        }
        changes += Change.Put(finalsKey(finalsChunk), Stored.Finals(FinalsCell(finalsDone.toList(), finalsCancelled.toList())))
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
        private const val ID_OVERHEAD = 4

        fun recordKey(seq: Seq) = RECORD_PREFIX + seq.number.toString().padStart(19, '0')
        fun jobKey(job: JobId) = JOB_PREFIX + job.text
        fun finalsKey(chunk: Long) = FINALS_PREFIX + chunk.toString().padStart(19, '0')

        private fun cellOf(event: Event): String = when (event) {
            is Event.OfJob -> JOB_PREFIX + event.job.text
            is Event.OfFleet -> FLEET
        }
    }
}
