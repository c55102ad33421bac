package cleathitch.scheduler.simulation

/**
 * The faults that a simulation injects, and how often. Shares are between 0 and 1. `...EveryS` is the mean interval in seconds between
 * two faults of a kind; 0 disables the fault.
 */
data class FaultSchedule(
    /** Share of messages that are dropped. */
    val messageLoss: Double = 0.0,
    /** Share of messages that are delayed by up to a minute. */
    val messageDelay: Double = 0.0,
    /** Share of messages that are delivered twice. */
    val messageDuplication: Double = 0.0,
    /** Kills the leader's process. */
    val leaderKillEveryS: Double = 0.0,
    /** Makes the key-value store refuse requests of the leader only. */
    val leaderIsolationEveryS: Double = 0.0,
    /** Terminates a machine. */
    val machineLossEveryS: Double = 0.0,
    /** Makes a machine hang for up to 40 s. */
    val machineHangEveryS: Double = 0.0,
    /** Share of heartbeats that are delivered a second time, up to twice the duration of a worker's lease later. */
    val delayedHeartbeatDuplicates: Double = 0.0,
    /** Permanently drops everything sent to a machine, while its heartbeats still arrive. */
    val permanentReplyLossEveryS: Double = 0.0,
    /** Restarts a machine without a delay. */
    val machineRestartEveryS: Double = 0.0,
    /** Terminates a quarter of the machines together. */
    val rackFailureEveryS: Double = 0.0,
    /** Holds all messages from and to a zone for up to a minute. */
    val zonePartitionEveryS: Double = 0.0,
    /** Pauses a controller, occasionally for longer than a worker's lease. */
    val controllerPauseEveryS: Double = 0.0,
    /** Killed controllers restart within 0.4 s, and their successor may be killed within the time to live of the leader's lease. */
    val quickRestarts: Boolean = false,
    /** Share of compare-and-swaps that are applied 2 to 12 s late and get no response. */
    val lateCommits: Double = 0.0,
    /** Makes the key-value store unavailable for a few seconds, occasionally for longer than a worker's lease. */
    val storeOutageEveryS: Double = 0.0,
    /** Drops the heartbeats of a third of the machines for up to a minute, while direct calls still reach these machines. */
    val massHeartbeatLossEveryS: Double = 0.0,
    /** Drops everything sent to a third of the machines for up to a minute, while their heartbeats still arrive. */
    val massReplyLossEveryS: Double = 0.0,
    /** Users cancel several running jobs, and the machines of these jobs hang from that moment. */
    val massCancellationEveryS: Double = 0.0,
    /** Share of jobs that are cancelled within 0.2 s after their last task completes. */
    val cancellationsAtCompletion: Double = 0.0,
    /** Users submit an accepted job again, cancel a job that is done, and submit a job that can never run. */
    val edgeCaseRequestsEveryS: Double = 0.0,
    /** Kills all controllers at once. They may stay down for longer than a worker's lease. */
    val allControllersDownEveryS: Double = 0.0,
    /**
     * All running tasks fail while all controllers are down for longer than a worker's lease. The next leader starts them again and is
     * killed; its successor first receives heartbeats that were sent right after the failures.
     */
    val delayedFailureReportsEveryS: Double = 0.0,
    /**
     * Time in seconds at which the leader is isolated from the key-value store; 0 disables the fault. Once its successor leads, users
     * cancel jobs, and then the store is unavailable for longer than `cancellationDeadlineS`.
     */
    val failoverThenOutageAtS: Double = 0.0,
    /** Share of job-archiving commits that are held back until the leader is killed, within the time to live of its lease. */
    val leaderKillsBeforeArchival: Double = 0.0,
    /** Seconds between log compactions; null for the default. */
    val compactionEveryS: Double? = null,
    /** Tasks complete within a heartbeat period, so that most have already exited when a heartbeat first reports them. */
    val shortTasks: Boolean = false,
)
