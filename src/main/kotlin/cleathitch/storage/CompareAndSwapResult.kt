package cleathitch.storage

/** What became of a transaction. */
sealed interface CompareAndSwapResult {
    data class Applied(val revision: Long) : CompareAndSwapResult
    data class Refused(val failed: List<String>) : CompareAndSwapResult
    data object LeaseNotFound : CompareAndSwapResult

    /** Surely not carried out. */
    data class Unavailable(val reason: String) : CompareAndSwapResult

    /** Carried out, or not, or it will be later. */
    data class Unknown(val failure: StoreFailure) : CompareAndSwapResult
}
