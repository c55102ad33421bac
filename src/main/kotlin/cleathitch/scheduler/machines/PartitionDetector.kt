package cleathitch.scheduler.machines

/**
 * Decides whether suspected machines have failed or are cut off by a network partition.
 *
 * Single machines, or a rack of them, are considered failed. If more than half of a zone or of the whole fleet is suspected at
 * the same time, a partition is more likely, and the machines continue to run their tasks until their leases expire.
 *
 * All suspects count, not only those due for termination. The machines behind a partition become silent one by one over the course
 * of a heartbeat period, so only a few become due at a time. If only these were counted, they would not be a majority, and the
 * machines would be terminated a few at a time.
 */
class PartitionDetector(up: List<Machine>, isSuspected: (Machine) -> Boolean) {
    /** The suspected machines, in the given order. */
    val suspects: List<Machine> = up.filter(isSuspected)

    /** Computed only if there are suspects: the detector runs often and usually finds none. */
    private val machinesByZone = if (suspects.isEmpty()) emptyMap() else up.groupingBy { it.offer.zone }.eachCount()
    private val suspectsByZone = suspects.groupingBy { it.offer.zone }.eachCount()
    private val majoritySuspectedZones =
        suspectsByZone.keys.filterTo(HashSet()) { isMajority(suspectsByZone.getValue(it), machinesByZone.getValue(it)) }
    private val isFleetMajoritySuspected = isMajority(suspects.size, up.size)

    /** Zones in which all machines are suspected: a new machine rented there would probably be unreachable, too. */
    val partitionedZones: Set<String> = majoritySuspectedZones.filterTo(HashSet()) { suspectsByZone[it] == machinesByZone[it] }

    /** Whether the machine is more likely cut off by a partition than failed. */
    fun isPartitioned(machine: Machine): Boolean = isFleetMajoritySuspected || machine.offer.zone in majoritySuspectedZones

    private fun isMajority(part: Int, whole: Int) = part > maxOf(MAX_INDEPENDENT_FAILURES, whole / 2)

    private companion object {
        /** In a small fleet or zone, two machines may fail independently at the same time, although they are a majority. */
        const val MAX_INDEPENDENT_FAILURES = 2
    }
}
