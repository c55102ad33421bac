package cleathitch.scheduler.model

/**
 * The version that a message to a worker carries: the paper's (cursorTS, count) in one integer.
 *
 * The cursor is the revision of the term's key or of the last record committed in that term. As a
 * new term's revision exceeds that of every record of older terms (each of which was guarded by the
 * older key), comparing (cursor, count) compares (term, cursor, count).
 *
 * Bounds: [COUNT_BITS] bits of count leave 63 - 20 = 43 bits of revision, 8.8e12 changes, which is
 * 279 years at 1,000 changes a second; a million orders fit between two records, and the engine
 * commits a record before the count runs out.
 */
@JvmInline
value class FencingToken(val packed: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = packed.compareTo(other.packed)
    fun next() = FencingToken(packed + 1)
    val countLeft: Long get() = MAX_COUNT - (packed and MAX_COUNT)
    override fun toString() = "${packed shr COUNT_BITS}.${packed and MAX_COUNT}"

    companion object {
        private const val COUNT_BITS = 20
        private const val MAX_COUNT = (1L shl COUNT_BITS) - 1
        val NONE = FencingToken(0)

        fun first(cursor: Long): FencingToken {
            require(cursor in 0 until (1L shl (63 - COUNT_BITS))) { "revision $cursor is out of range" }
            return FencingToken(cursor shl COUNT_BITS)
        }
    }
}
