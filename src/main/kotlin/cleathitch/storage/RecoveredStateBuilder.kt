package cleathitch.storage

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.scheduler.log.FinishedJobsSnapshot
import cleathitch.scheduler.log.InventorySnapshot
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.LogRecord
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.log.StoredFinishedJobs
import cleathitch.scheduler.log.StoredJob
import cleathitch.scheduler.log.StoredRecord

/** Assembles a [RecoveredState] from the entries of the key-value store: call [add] for each entry, then [result]. */
internal class RecoveredStateBuilder {
    private var head = LogIndex.NONE
    private var inventory: InventorySnapshot? = null
    private val records = ArrayList<StoredRecord>()
    private val finishedJobs = ArrayList<StoredFinishedJobs>()

    /** The parts of each job's snapshot, by the key prefix that they share. */
    private val jobParts = LinkedHashMap<String, MutableList<KeyValueStoreProtocol.Entry>>()

    /** Adds one entry; entries with unknown keys are ignored. */
    fun add(entry: KeyValueStoreProtocol.Entry) {
        val key = entry.key
        when {
            key == LogKeys.HEAD -> head = LogCodec.decodeHead(entry.value).index
            key == LogKeys.INVENTORY -> inventory = LogCodec.decode(InventorySnapshot.serializer(), entry.value)
            key.startsWith(LogKeys.RECORD_PREFIX) -> addRecord(entry)
            key.startsWith(LogKeys.FINISHED_JOBS_PREFIX) -> addFinishedJobs(entry)
            key.startsWith(LogKeys.JOB_PREFIX) -> addJobPart(entry)
        }
    }

    private fun addRecord(entry: KeyValueStoreProtocol.Entry) {
        val index = LogIndex(numberAfter(LogKeys.RECORD_PREFIX, entry.key))
        records += StoredRecord(index, LogCodec.decode(LogRecord.serializer(), entry.value))
    }

    private fun addFinishedJobs(entry: KeyValueStoreProtocol.Entry) {
        val chunkNumber = numberAfter(LogKeys.FINISHED_JOBS_PREFIX, entry.key)
        finishedJobs += StoredFinishedJobs(chunkNumber, LogCodec.decode(FinishedJobsSnapshot.serializer(), entry.value))
    }

    private fun addJobPart(entry: KeyValueStoreProtocol.Entry) {
        jobParts.getOrPut(entry.key.substringBeforeLast('/')) { ArrayList() } += entry
    }

    fun result() = RecoveredState(head, records.sortedBy { it.index }, jobParts.values.map(::job), inventory, finishedJobs)

    private fun job(parts: List<KeyValueStoreProtocol.Entry>): StoredJob {
        val inOrder = parts.sortedBy { it.key.substringAfterLast('/').toInt() }
        val snapshot = LogCodec.decode(JobSnapshot.serializer(), inOrder.map { it.value })
        return StoredJob(snapshot, parts.size)
    }

    private fun numberAfter(prefix: String, key: String): Long = key.removePrefix(prefix).toLongOrNull()
        ?: throw MalformedMessageException("key $key: expected a number after the prefix $prefix")
}
