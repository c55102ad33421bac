package cleathitch.scheduler.model

/** A machine type as the cloud lists it: what a machine of it holds, what it costs, and where it can be rented. */
data class MachineType(
    val name: String,
    /** Processors. */
    val cpus: Double,
    /** Accelerators. */
    val gpus: Double,
    val memoryGb: Double,
    /** Room for images; a machine drops those least recently used. */
    val cacheGb: Double,
    /** The rate at which images are fetched, shared by all fetches of a machine. */
    val fetchGbPerS: Double,
    /** Price of an on-demand machine for a unit of time; prices change between listings. */
    val price: Double,
    /** Price of a spot machine for the same unit of time. */
    val spotPrice: Double,
    /** Nominal time from the rental to the first heartbeat. */
    val bootS: Double,
    val zones: List<String>,
) {
    /** Whether an empty machine of this type has room for a task of the class. */
    fun canHold(placementClass: PlacementClass) =
        placementClass.cpus <= cpus && placementClass.gpus <= gpus && placementClass.memoryGb <= memoryGb

    /** The price of a machine of this type for a unit of time, as a spot machine or on demand. */
    fun priceOf(spot: Boolean) = if (spot) spotPrice else price
}
