package cleathitch.scheduler.simulation

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.StoredValue
import cleathitch.storage.LogCodec
import java.util.TreeMap

/** The values that commits have written to the key-value store, encoded by the production [LogCodec] when they are read. */
class StoredEntries {
    private val puts = TreeMap<String, Mutation.Put>()

    val head get() = puts[LogKeys.HEAD]?.value as? StoredValue.Head

    /** Applies the [changes] of a commit. */
    fun apply(changes: List<Mutation>) {
        for (change in changes) {
            when (change) {
                is Mutation.Put -> puts[change.key] = change
                // All parts of a job are one entry here, so deleting any part deletes the job.
                is Mutation.Delete -> puts.remove(
                    if (change.key.startsWith(LogKeys.JOB_PREFIX)) change.key.substringBeforeLast('/') else change.key,
                )
            }
        }
    }

    /** The entries as a new leader reads them, each with [revision]. */
    fun entries(revision: Long): List<KeyValueStoreProtocol.Entry> = puts.values.flatMap { put ->
        LogCodec.encode(put.value, put.parts).mapIndexed { part, value ->
            KeyValueStoreProtocol.Entry(put.key + if (put.value is StoredValue.Job) "/$part" else "", value, revision)
        }
    }
}
