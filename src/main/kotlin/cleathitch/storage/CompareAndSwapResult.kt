package cleathitch.storage

import cleathitch.http.ServiceError

/** The result of a compare-and-swap. */
sealed interface CompareAndSwapResult {
    /** Applied; the key-value store's revision is now [revision]. */
    data class Applied(val revision: Long) : CompareAndSwapResult

    /** Not applied, because [failedKeys] do not have the expected revisions. */
    data class Refused(val failedKeys: List<String>) : CompareAndSwapResult

    /** Not applied, because a write refers to a lease that does not exist. */
    data object LeaseNotFound : CompareAndSwapResult

    /** Not applied, for a [reason] that may be temporary. */
    data class Unavailable(val reason: String) : CompareAndSwapResult

    /** The outcome is unknown: the request was applied, was not applied, or is still in flight and may be applied later. */
    data class Unknown(val failure: ServiceError) : CompareAndSwapResult
}
