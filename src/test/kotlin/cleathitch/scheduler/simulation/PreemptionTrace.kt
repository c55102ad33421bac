package cleathitch.scheduler.simulation

/** The tasks that a simulated cluster stopped for other jobs, and the starts on their machines, from its log lines. */
class PreemptionTrace private constructor(val stops: List<Stop>, private val starts: List<Start>) {
    /** A task that was stopped on [machine] for [job]. */
    data class Stop(val atS: Double, val attempt: String, val machine: String, val job: String)

    /** A task of [job] that was started on [machine]. */
    data class Start(val atS: Double, val job: String, val machine: String)

    /** The stops after which the job that they were made for doesn't start on the machine within [maxS] seconds. */
    fun stopsWithoutStart(maxS: Double): List<Stop> = stops.filter { stop ->
        starts.none { it.job == stop.job && it.machine == stop.machine && it.atS > stop.atS && it.atS <= stop.atS + maxS }
    }

    companion object {
        private val STOP = Regex("""^(\S+) .*event=attempt_preempted attempt=(\S+) machine=(\S+) for_job=(\S+)""")
        private val START = Regex("""^(\S+) .*event=attempt_started attempt=(\S+)/\S+ machine=(\S+)""")

        /** Reads the lines of a cluster's [trace]. */
        fun of(trace: List<String>) = PreemptionTrace(
            trace.mapNotNull(STOP::find).map { it.groupValues }.map { Stop(it[1].toDouble(), it[2], machine = it[3], job = it[4]) },
            trace.mapNotNull(START::find).map { it.groupValues }.map { Start(it[1].toDouble(), it[2], machine = it[3]) },
        )
    }
}
