package cleathitch.scheduler.machines

/**
 * Decides whether suspected machines have failed, or are cut off by a network partition.
 *
 * Single machines, also a rack of them, are taken to have failed. Where more than half of a zone, or of the whole fleet, is
 * suspected at the same time, a partition is more likely, and the machines run on for a lease. All suspects count, not only
 * those about to be terminated: a fleet falls silent over a heartbeat period, and counted by the latter it would be
 * terminated piece by piece.
 */
class PartitionDetector(up: List<Machine>, isSuspected: (Machine) -> Boolean) {
    /** The machines that are suspected, in the order given. */
    val suspects: List<Machine> = up.filter(isSuspected)

    /** Counted only where there are suspects: the detector runs often, and mostly finds none. */
    private val machinesByZone = if (suspects.isEmpty()) emptyMap() else up.groupingBy { it.offer.zone }.eachCount()
    private val suspectsByZone = suspects.groupingBy { it.offer.zone }.eachCount()
    private val zonesWithMajority =
        suspectsByZone.keys.filterTo(HashSet()) { isMajority(suspectsByZone.getValue(it), machinesByZone.getValue(it)) }
    private val isFleetMajority = isMajority(suspects.size, up.size)

    /** Zones in which all machines are suspected: a machine rented there couldn't be reached either. */
    val partitionedZones: Set<String> = zonesWithMajority.filterTo(HashSet()) { suspectsByZone[it] == machinesByZone[it] }

    /** Whether the machine is more likely cut off than failed. */
    fun isPartitioned(machine: Machine): Boolean = isFleetMajority || machine.offer.zone in zonesWithMajority

    private fun isMajority(part: Int, whole: Int) = part > maxOf(INDEPENDENT_FAILURES, whole / 2)

    private companion object {
        /** Of a handful of machines two may well fail at the same time. */
        const val INDEPENDENT_FAILURES = 2
    }
}
