package cleathitch.storage

/** What became of a commit. */
sealed interface CommitResult {
    data class Done(val revision: Long) : CommitResult

    /** Another leads, or has led since: this node's term is over. */
    data class Refused(val failedKeys: List<String>) : CommitResult
}
