package cleathitch.scheduler.model

/**
 * The fencing token that each answer and command to a worker carries: (cursor, count) in one integer. A worker ignores
 * commands with a token older than the newest that it has seen, so a superseded leader can't start anything.
 *
 * The cursor is the store's revision of the term's key or of the last record committed in that term. As a new term's revision
 * exceeds that of every record of older terms (each of which was guarded by the older key), comparing (cursor, count) compares
 * (term, cursor, count). The count distinguishes the commands that are sent between two records.
 *
 * Bounds: [COUNT_BITS] bits of count leave 63 - 20 = 43 bits of revision, 8.8e12 changes, which is 279 years at 1,000 changes a
 * second; a million commands fit between two records, and the scheduler commits a record before the count runs out.
 */
@JvmInline
value class FencingToken(val packed: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = packed.compareTo(other.packed)

    /** The token with the next count; the caller makes sure that [countLeft] isn't used up. */
    fun next() = FencingToken(packed + 1)

    /** How often [next] may still be called before the next record has to be committed. */
    val countLeft: Long get() = MAX_COUNT - (packed and MAX_COUNT)

    override fun toString() = "${packed shr COUNT_BITS}.${packed and MAX_COUNT}"

    companion object {
        private const val COUNT_BITS = 20
        private const val MAX_COUNT = (1L shl COUNT_BITS) - 1
        private const val MAX_CURSOR = (1L shl (63 - COUNT_BITS)) - 1

        /** Older than every token that a leader gives out. */
        val NONE = FencingToken(0)

        /** The first token of the store's revision [cursor]. */
        fun first(cursor: Long): FencingToken {
            require(cursor in 0..MAX_CURSOR) { "revision $cursor is out of range" }
            return FencingToken(cursor shl COUNT_BITS)
        }
    }
}
