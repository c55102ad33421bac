package cleathitch.scheduler.log

/** One change to the key-value store in a commit. Keys are those of [LogKeys], without the deployment's key prefix. */
sealed interface Mutation {
    val key: String

    /** Stores [value]; a job's snapshot is stored in [parts] parts under [key]`/0`, [key]`/1` and so on. */
    data class Put(override val key: String, val value: StoredValue, val parts: Int = 1) : Mutation

    /** Deletes [key]. */
    data class Delete(override val key: String) : Mutation
}
