package cleathitch.scheduler.model

/**
 * The key-value store's limits on one transaction. Bytes are those of the JSON form.
 *
 * @property transactionBytes the limit for the whole transaction, conditions included
 * @property valueBytes the limit for each value
 * @property operations the limit for the number of writes and deletions
 */
data class StoreLimits(val transactionBytes: Int, val valueBytes: Int, val operations: Int) {
    companion object {
        /** The store's limit for a whole transaction, which no setting changes. */
        const val MAX_TRANSACTION_BYTES = 64 * 1024
    }
}
