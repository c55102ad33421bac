package cleathitch.storage

import cleathitch.scheduler.model.TransactionSize

/** The result of a commit to the decision log. */
sealed interface CommitResult {
    /** The commit was applied, at [revision] of the key-value store. */
    data class Committed(val revision: Long) : CommitResult

    /**
     * The commit was not applied, because [failedKeys] do not have the expected revisions. The term is over: the leader's key no
     * longer exists or another controller has been elected.
     */
    data class Refused(val failedKeys: List<String>) : CommitResult

    /**
     * The commit was not applied and never will be: the key-value store doesn't accept a transaction of this [size], and said so of every
     * attempt. A smaller one may be planned in its place.
     */
    data class Rejected(val size: TransactionSize) : CommitResult

    /**
     * The key-value store doesn't accept a transaction of this [size], but an earlier attempt to write it may still be applied. Nothing
     * may be planned in its place; only a new term, whose leader's key that attempt doesn't expect, can decide its fate.
     */
    data class Undecided(val size: TransactionSize) : CommitResult
}
