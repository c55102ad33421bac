package cleathitch.scheduler.model

/** A machine type as the cloud provider lists it: resources, prices and the zones in which it can be rented. */
data class MachineType(
    val name: String,
    /** Number of CPUs. */
    val cpus: Double,
    /** Number of GPUs. */
    val gpus: Double,
    val memoryGb: Double,
    /** Size of the image cache, in gigabytes; a machine evicts the least recently used images. */
    val cacheGb: Double,
    /** Image fetch bandwidth in gigabytes per second, shared by all concurrent fetches of a machine. */
    val fetchGbPerS: Double,
    /** Price of an on-demand machine per unit of time; prices may change between listings. */
    val price: Double,
    /** Price of a spot machine per the same unit of time. */
    val spotPrice: Double,
    /** Nominal time from the rental to the first heartbeat, in seconds. */
    val bootS: Double,
    val zones: List<String>,
) {
    /** Whether a task of the class fits on an empty machine of this type. */
    fun fits(placementClass: PlacementClass) =
        placementClass.cpus <= cpus && placementClass.gpus <= gpus && placementClass.memoryGb <= memoryGb

    /** The price of a machine of this type per unit of time, as a spot or an on-demand machine. */
    fun priceOf(spot: Boolean) = if (spot) spotPrice else price
}
