package cleathitch.scheduler.capacity

/** What a zone can give for a demand: capacity that is booting or requested, or machines on offer. */
internal class ZoneSupply(
    val zone: String,
    /** The number of tasks that fit on booting machines and unanswered rentals. */
    val pendingTasks: Int,
    /** The cost per task on the cheapest offer, null if nothing is on offer. */
    val offerCost: Double?,
) {
    val isOffered: Boolean get() = offerCost != null
}
