package cleathitch.scheduler.model

/**
 * The fencing token that each reply and command to a worker carries: (revision, count) packed into one integer. A worker rejects
 * commands whose token is older than the newest that it has seen, so a superseded leader can't start tasks.
 *
 * The revision is the key-value store's revision at the last commit of the term or, before the first commit, at the creation of the
 * leader's key. A term's records are committed only while its leader's key exists, so the key of the next leader has a higher revision
 * than all of them, and tokens of different terms are ordered like the terms. The count distinguishes the messages with commands
 * that are sent between two commits.
 *
 * Bounds: [COUNT_BITS] bits of count leave 63 - 20 = 43 bits of revision, that is 8.8e12 changes or 279 years at 1,000 changes per
 * second. A million messages fit between two commits, and the scheduler commits a record before the count is exhausted.
 */
@JvmInline
value class FencingToken(val packed: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = packed.compareTo(other.packed)

    /** The token with the next count; the caller has to ensure that [remainingCount] is positive. */
    fun next() = FencingToken(packed + 1)

    /** The number of times that [next] may be called before another record has to be committed. */
    val remainingCount: Long get() = MAX_COUNT - (packed and MAX_COUNT)

    override fun toString() = "${packed shr COUNT_BITS}.${packed and MAX_COUNT}"

    companion object {
        private const val COUNT_BITS = 20
        private const val MAX_COUNT = (1L shl COUNT_BITS) - 1
        private const val MAX_REVISION = (1L shl (63 - COUNT_BITS)) - 1

        /** Older than every token that a leader issues. */
        val NONE = FencingToken(0)

        /** The first token of the key-value store's [revision]. */
        fun first(revision: Long): FencingToken {
            require(revision in 0..MAX_REVISION) { "fencing token: revision $revision is outside 0..$MAX_REVISION" }
            return FencingToken(revision shl COUNT_BITS)
        }
    }
}
