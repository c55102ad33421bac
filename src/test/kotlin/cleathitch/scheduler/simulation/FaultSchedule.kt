package cleathitch.scheduler.simulation

/** What a world's days are like. */
data class FaultSchedule(
    /** Share of messages that are lost, held for up to a minute, or delivered twice. */
    val lost: Double = 0.0,
    val held: Double = 0.0,
    val twice: Double = 0.0,
    /** Mean time between kills of a leader, between partitions of one, and between deaths of machines; 0: never. */
    val killS: Double = 0.0,
    val cutS: Double = 0.0,
    val dieS: Double = 0.0,
    val hangS: Double = 0.0,
    /** Share of reports of which a copy comes late, up to twice a worker's lease. */
    val copied: Double = 0.0,
    /** Mean time between machines that lose what is sent to them, and between machines that start anew at once. */
    val deafS: Double = 0.0,
    val bounceS: Double = 0.0,
    /** Mean time between racks that stop (a quarter of the machines), zones cut off, and nodes that stand still. */
    val rackS: Double = 0.0,
    val zoneS: Double = 0.0,
    val standS: Double = 0.0,
    /** Killed nodes are back within a fraction of a second, and may be killed again in the election. */
    val quick: Boolean = false,
    /** Share of transactions that get no answer and are carried out 2 to 12 s later. */
    val lateWrites: Double = 0.0,
    /** Mean time between outages of the state service (a few seconds, now and then beyond a lease). */
    val outageS: Double = 0.0,
    /** Mean time between machines that reach no node, while direct orders reach them, and between thirds of the fleet that hear nothing. */
    val muteS: Double = 0.0,
    val deafManyS: Double = 0.0,
    /** Mean time between moments at which users call off several running jobs, whose machines hang then. */
    val cancelNowS: Double = 0.0,
    /** Share of jobs that are called off as their last task ends. */
    val cancelAtEnd: Double = 0.0,
    /** Mean time between repeated submissions, cancellations of done jobs and jobs that can't run. */
    val oddS: Double = 0.0,
    /** Mean time between spells without any node, up to beyond a lease. */
    val awayS: Double = 0.0,
    /** When the state service refuses the leader alone, its successor confirms cancellations, and then it is out beyond `cancelS`. */
    val gapAtS: Double = 0.0,
    /** Share of commits that archive jobs and are never carried out: their leader ends within a lease. */
    val endsAtArchive: Double = 0.0,
    /** Seconds between trims, if not the usual. */
    val trimS: Double? = null,
    /** Tasks end within a report period, so that the first that is heard of most is their end. */
    val shortTasks: Boolean = false,
)
