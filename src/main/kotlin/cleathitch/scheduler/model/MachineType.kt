package cleathitch.scheduler.model

data class MachineType(
    val name: String,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
    val zones: List<String>,
) {
    fun holds(shape: PlacementClass) = shape.cpus <= cpus && shape.gpus <= gpus && shape.memoryGb <= memoryGb

    fun priceOf(spot: Boolean) = if (spot) spotPrice else price
}
