package cleathitch.scheduler.model

/**
 * The size of a transaction in the terms of [StoreLimits].
 *
 * @property bytes the whole transaction, conditions included
 * @property operations the number of writes and deletions
 * @property largestValueBytes the largest value that the transaction writes
 * @property largestKey the key of that value, null if the transaction writes none
 */
data class TransactionSize(val bytes: Int, val operations: Int, val largestValueBytes: Int, val largestKey: String?)
