package cleathitch.scheduler.capacity

import cleathitch.scheduler.placement.ZoneAllowance

/** Distributes the tasks of a demand over the zones that may take them and that have machines to give. */
internal object ZoneSplit {
    /** The number of tasks by zone. Tasks that none of the zones may take are left out. */
    fun split(tasks: Int, supplies: List<ZoneSupply>, allowance: ZoneAllowance): Map<String, Int> {
        val allowed = supplies.filter { it.zone in allowance }
        if (allowance.needsSingleZone) return singleZone(tasks, allowed)?.let { mapOf(it.zone to tasks) }.orEmpty()
        // Tasks that can't be split evenly go where capacity is pending, so that no further machine is rented for them.
        return evenly(tasks, allowed.sortedByDescending { it.pendingTasks > 0 }.map { it.zone }, allowance)
    }

    /** The zone for all tasks: if possible one that can take all of them, then the one with the most pending capacity. */
    private fun singleZone(tasks: Int, supplies: List<ZoneSupply>): ZoneSupply? = supplies.sortedBy { it.offerCost ?: Double.MAX_VALUE }
        .maxWithOrNull(compareBy({ it.isOffered || it.pendingTasks >= tasks }, { it.pendingTasks }))

    /**
     * Splits [tasks] as evenly as the allowance permits, so that the loss of a zone affects as few of them as possible. The zones that
     * come first get one task more if necessary.
     */
    private fun evenly(tasks: Int, zones: List<String>, allowance: ZoneAllowance): Map<String, Int> {
        val shares = LinkedHashMap<String, Int>()
        var remaining = tasks
        var open = zones
        while (remaining > 0 && open.isNotEmpty()) {
            val each = maxOf(1, remaining / open.size)
            for (zone in open) {
                val added = minOf(each, remaining, allowance.remaining(zone) - (shares[zone] ?: 0))
                if (added > 0) shares.merge(zone, added, Int::plus)
                remaining -= added
            }
            open = open.filter { (shares[it] ?: 0) < allowance.remaining(it) }
        }
        return shares
    }
}
