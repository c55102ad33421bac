package cleathitch.storage

/** The result of a commit to the decision log. */
sealed interface CommitResult {
    /** The commit was applied, at [revision] of the key-value store. */
    data class Committed(val revision: Long) : CommitResult

    /**
     * The commit was not applied, because [failedKeys] do not have the expected revisions. The term is over: the leader's key no
     * longer exists or another controller has been elected.
     */
    data class Refused(val failedKeys: List<String>) : CommitResult
}
