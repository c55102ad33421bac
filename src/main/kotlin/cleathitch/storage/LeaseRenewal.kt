package cleathitch.storage

import cleathitch.http.ServiceError

/** The result of a request to renew a lease. */
sealed interface LeaseRenewal {
    /** The lease is held for its full time to live, counted from when the key-value store received the request. */
    data object Renewed : LeaseRenewal

    /** The lease no longer exists: it expired or was revoked. */
    data object Expired : LeaseRenewal

    /** It is unknown whether the lease was renewed. */
    data class Unknown(val failure: ServiceError) : LeaseRenewal
}
