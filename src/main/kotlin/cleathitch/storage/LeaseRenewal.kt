package cleathitch.storage

import cleathitch.http.ServiceError

/** How a request to renew a lease ended. */
sealed interface LeaseRenewal {
    /** The lease is held, for its whole time from when the store received the request. */
    data object Renewed : LeaseRenewal

    /** The lease doesn't exist any more: it expired or was revoked. */
    data object Expired : LeaseRenewal

    /** The lease may have been renewed or not. */
    data class Unknown(val failure: ServiceError) : LeaseRenewal
}
