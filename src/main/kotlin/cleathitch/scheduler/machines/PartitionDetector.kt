package cleathitch.scheduler.machines

/**
 * Whose fault it is that machines are [quiet]: their own, or that of the way to them.
 *
 * Single machines, also a rack of them, are taken to have stopped. Where more than half of a zone, or of the
 * whole fleet, is quiet at the same time, the way is more likely cut, and what runs there runs on for a
 * lease. Quiet ones are counted, not those long since given up: a fleet doesn't fall silent at one moment
 * but over a report period, and counted by the latter it was once returned piece by piece.
 */
class PartitionDetector(up: List<Machine>, isQuiet: (Machine) -> Boolean) {
    val quiet = up.filter(isQuiet)

    /** Mostly nothing is quiet, and then there is nothing to count. */
    private val inZone = if (quiet.isEmpty()) emptyMap() else up.groupingBy { it.offer.zone }.eachCount()
    private val quietInZone = quiet.groupingBy { it.offer.zone }.eachCount()
    private val excused = quietInZone.keys.filterTo(HashSet()) { isMajority(quietInZone.getValue(it), inZone.getValue(it)) }
    private val all = isMajority(quiet.size, up.size)

    /** Zones of which nothing at all is heard: what is rented there wouldn't be heard of either. */
    val partitionedZones: Set<String> = excused.filterTo(HashSet()) { quietInZone[it] == inZone[it] }

    fun excuses(machine: Machine) = all || machine.offer.zone in excused

    private fun isMajority(part: Int, whole: Int) = part > maxOf(FEW, whole / 2)

    private companion object {
        /** Of a handful of machines two may well fail at the same time. */
        const val FEW = 2
    }
}
