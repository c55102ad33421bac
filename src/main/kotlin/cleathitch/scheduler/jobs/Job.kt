package cleathitch.scheduler.jobs

import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.model.JobSpec
import java.util.BitSet
import java.util.TreeSet

class Job(val spec: JobSpec, val wallMs: Long, val acceptedSeq: LogIndex) {
    val id get() = spec.id
    val done = BitSet()
    var doneCount = 0
        private set
    val live = LinkedHashMap<Int, Attempt>()
    var lastNumber = 0L
    var cancelledSeq: LogIndex? = null
    var finishedSeq: LogIndex? = null

    /** Tasks that failed by themselves since the last that didn't, and when the job may be tried again. */
    var failures = 0
    var notBeforeMs = 0L

    private var fresh = 0
    private val again = TreeSet<Int>()

    val cancelled get() = cancelledSeq != null
    val over get() = cancelled || finishedSeq != null
    val waiting get() = if (over) 0 else spec.tasks - doneCount - live.size

    fun nextWaiting(): Int? {
        if (over) return null
        again.firstOrNull()?.let { return it }
        while (fresh < spec.tasks && (done[fresh] || fresh in live)) fresh++
        return fresh.takeIf { it < spec.tasks }
    }

    /** Of a job that is over nothing goes on. */
    fun stopIfOver() {
        if (over) live.values.forEach { it.stop = StopCause.CANCELLED }
    }

    internal fun started(attempt: Attempt) {
        val index = attempt.id.task.index
        live[index] = attempt
        again.remove(index)
        lastNumber = maxOf(lastNumber, attempt.id.number)
    }

    internal fun ended(index: Int) {
        live.remove(index)
        if (!done[index]) again.add(index)
    }

    internal fun taskDone(index: Int, seq: LogIndex) {
        if (done[index]) return
        done.set(index)
        doneCount++
        again.remove(index)
        if (doneCount == spec.tasks && !cancelled) finishedSeq = seq
    }

    internal fun restoreDone(bits: BitSet) {
        done.or(bits)
        doneCount = done.cardinality()
        if (doneCount == spec.tasks) finishedSeq = LogIndex.NONE
    }
}
