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

    /**
     * Not applied, because the store doesn't accept a transaction of this content, for example because it exceeds a limit. The same
     * content will be rejected again.
     */
    data class Rejected(val reason: String) : CompareAndSwapResult

    /** Not applied, because the store is overloaded or unavailable, with [status]. The same content may be accepted later. */
    data class Unavailable(val status: Int) : CompareAndSwapResult

    /** The outcome is unknown: the request was applied, was not applied, or is still in flight and may be applied later. */
    data class Unknown(val failure: ServiceError) : CompareAndSwapResult
}
