package cleathitch.scheduler.log

import cleathitch.scheduler.model.StoreLimits

/** What one or more changes add to a transaction: [bytes], and [operations], that is, writes and deletions. */
internal data class ChangeSize(val bytes: Int, val operations: Int) {
    operator fun plus(other: ChangeSize) = ChangeSize(bytes + other.bytes, operations + other.operations)

    /** Whether neither number exceeds that of [limit]. */
    infix fun isWithin(limit: ChangeSize) = bytes <= limit.bytes && operations <= limit.operations
}

/** The space that is left in a transaction which writes the head, under the store's [limits]. */
internal class TransactionSpace(private val sizes: StoredSizes, private val limits: StoreLimits) {
    private var used = ChangeSize(sizes.headTransactionBytes, operations = 1)

    /** What can still be added. */
    val left get() = ChangeSize(limits.transactionBytes - used.bytes, limits.operations - used.operations)

    /** Whether changes of [size] can be added. */
    fun fits(size: ChangeSize) = size isWithin left

    /** Adds changes of [size] if they fit; returns whether they do. */
    fun add(size: ChangeSize): Boolean {
        if (!fits(size)) return false
        used += size
        return true
    }
}

/** The size of writing a value of [encodedBytes] under [key] in one part. */
internal fun StoredSizes.putSize(key: String, encodedBytes: Int) = ChangeSize(putBytes(listOf(key), encodedBytes), operations = 1)

/** The size of deleting [keys]. */
internal fun StoredSizes.deleteSize(keys: List<String>) = ChangeSize(keys.sumOf(::deleteBytes), keys.size)
