package cleathitch.scheduler.simulation

/**
 * Which faults a simulation injects and how often. Shares are of 1, and `...EveryS` is the mean time in seconds between two
 * faults of a kind, 0 for never.
 */
data class FaultSchedule(
    /** Share of messages that are lost. */
    val messageLoss: Double = 0.0,
    /** Share of messages that are delayed by up to a minute. */
    val messageDelay: Double = 0.0,
    /** Share of messages that are delivered twice. */
    val messageDuplication: Double = 0.0,
    /** The leader's process is killed. */
    val leaderKillEveryS: Double = 0.0,
    /** The key-value store refuses the leader alone. */
    val leaderIsolationEveryS: Double = 0.0,
    /** A machine ends. */
    val machineLossEveryS: Double = 0.0,
    /** A machine hangs for a while. */
    val machineHangEveryS: Double = 0.0,
    /** Share of heartbeats of which a copy arrives late, up to twice a worker's lease. */
    val lateHeartbeatCopies: Double = 0.0,
    /** A machine loses for good what is sent to it, while its heartbeats arrive. */
    val missedRepliesEveryS: Double = 0.0,
    /** A machine restarts at once. */
    val machineRestartEveryS: Double = 0.0,
    /** A quarter of the machines ends. */
    val rackFailureEveryS: Double = 0.0,
    /** All messages from and to a zone are held for up to a minute. */
    val zonePartitionEveryS: Double = 0.0,
    /** A controller does nothing for a while, now and then for longer than a worker's lease. */
    val controllerPauseEveryS: Double = 0.0,
    /** Killed controllers are back within a fraction of a second, and may be killed again in the election. */
    val quickRestarts: Boolean = false,
    /** Share of compare-and-swaps that get no answer and are carried out 2 to 12 s later. */
    val lateCommits: Double = 0.0,
    /** The key-value store is out for a few seconds, now and then for longer than a worker's lease. */
    val storeOutageEveryS: Double = 0.0,
    /** The heartbeats of a third of the machines reach no controller for a while, while direct calls reach the machines. */
    val lostHeartbeatsEveryS: Double = 0.0,
    /** A third of the machines loses for a while what is sent to it. */
    val fleetMissesRepliesEveryS: Double = 0.0,
    /** Users cancel several running jobs, whose machines hang at that moment. */
    val massCancellationEveryS: Double = 0.0,
    /** Share of jobs that are cancelled as their last task ends. */
    val cancelledAtEnd: Double = 0.0,
    /** Users repeat a submission, cancel a job that is done, and submit one that can't run. */
    val unusualRequestsEveryS: Double = 0.0,
    /** All controllers are down together, for up to longer than a worker's lease. */
    val allControllersDownEveryS: Double = 0.0,
    /** When the store refuses the leader alone, its successor confirms cancellations, and then the store is out beyond `cancelS`. */
    val failoverThenOutageAtS: Double = 0.0,
    /** Share of commits that archive jobs and are never carried out: their leader is killed within a lease. */
    val killsBeforeArchive: Double = 0.0,
    /** Seconds between log compactions, if not the usual. */
    val compactionEveryS: Double? = null,
    /** Tasks end within a heartbeat interval, so that most are first seen when they have exited. */
    val shortTasks: Boolean = false,
)
