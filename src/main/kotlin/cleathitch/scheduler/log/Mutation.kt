package cleathitch.scheduler.log

/** A change to the state service; keys are relative to the deployment's own prefix. */
sealed interface Mutation {
    val key: String

    /** A value too long for one key stands under [key]`/0`, `/1` and so on, in [parts] parts. */
    data class Put(override val key: String, val value: StoredValue, val parts: Int = 1) : Mutation
    data class Delete(override val key: String) : Mutation
}
