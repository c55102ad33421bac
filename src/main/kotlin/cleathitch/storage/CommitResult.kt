package cleathitch.storage

/** The result of a commit to the decision log. */
sealed interface CommitResult {
    /** The commit was applied, at [revision] of the key-value store. */
    data class Committed(val revision: Long) : CommitResult

    /** Another controller leads or has led in the meantime, so this term is over. [failedKeys] are the keys with unexpected revisions. */
    data class Refused(val failedKeys: List<String>) : CommitResult
}
