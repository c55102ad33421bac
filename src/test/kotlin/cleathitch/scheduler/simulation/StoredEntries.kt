package cleathitch.scheduler.simulation

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.StoredValue
import cleathitch.storage.LogCodec
import java.util.TreeMap

/** The values that commits have left in a state service, as the real codec stores them. */
class StoredEntries {
    private val cells = TreeMap<String, Mutation.Put>()

    val head get() = cells[LogKeys.HEAD]?.value as? StoredValue.Head

    /** Carries out the changes of a commit. */
    fun apply(changes: List<Mutation>) {
        for (change in changes) {
            when (change) {
                is Mutation.Put -> cells[change.key] = change
                // A cell's parts are kept together here, so each part's deletion is the cell's.
                is Mutation.Delete -> cells.remove(
                    if (change.key.startsWith(LogKeys.JOB_PREFIX)) change.key.substringBeforeLast('/') else change.key,
                )
            }
        }
    }

    /** As a new leader reads them, at [revision]. */
    fun entries(revision: Long): List<KeyValueStoreProtocol.Entry> = cells.values.flatMap { put ->
        LogCodec.encode(put.value, put.parts).mapIndexed { part, value ->
            KeyValueStoreProtocol.Entry(put.key + if (put.value is StoredValue.Job) "/$part" else "", value, revision)
        }
    }
}
