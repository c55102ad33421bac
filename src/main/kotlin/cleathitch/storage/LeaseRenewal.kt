package cleathitch.storage

/** What became of the renewal of a lease. */
sealed interface LeaseRenewal {
    data object Held : LeaseRenewal
    data object Gone : LeaseRenewal
    data class Unknown(val failure: StoreFailure) : LeaseRenewal
}
