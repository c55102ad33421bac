package cleathitch.storage

import cleathitch.http.ServiceError

/** How a compare-and-swap ended. */
sealed interface CompareAndSwapResult {
    /** Carried out; the store's revision is now [revision]. */
    data class Applied(val revision: Long) : CompareAndSwapResult

    /** Not carried out, because [failedKeys] don't have the expected revisions. */
    data class Refused(val failedKeys: List<String>) : CompareAndSwapResult

    /** Not carried out, because a write names a lease that doesn't exist. */
    data object LeaseNotFound : CompareAndSwapResult

    /** Not carried out, for a [reason] that may pass. */
    data class Unavailable(val reason: String) : CompareAndSwapResult

    /** The outcome isn't known: it was carried out, or wasn't, or is still on its way and will be later. */
    data class Unknown(val failure: ServiceError) : CompareAndSwapResult
}
