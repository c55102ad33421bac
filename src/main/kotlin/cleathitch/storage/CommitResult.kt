package cleathitch.storage

/** How a commit of the decision log ended. */
sealed interface CommitResult {
    /** The commit is in the key-value store, whose revision it raised to [revision]. */
    data class Committed(val revision: Long) : CommitResult

    /** Another controller leads or has led since: this term is over. [failedKeys] are the keys whose revisions differed. */
    data class Refused(val failedKeys: List<String>) : CommitResult
}
