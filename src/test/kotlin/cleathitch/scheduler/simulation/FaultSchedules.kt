package cleathitch.scheduler.simulation

/** The fault schedules under which the invariants are tested, by the name that appears in the test reports. */
object FaultSchedules {
    val byName = mapOf(
        "no faults" to FaultSchedule(),
        "lossy network" to FaultSchedule(messageLoss = 0.05, messageDelay = 0.03, messageDuplication = 0.05),
        "killed leaders" to
            FaultSchedule(messageLoss = 0.02, messageDelay = 0.02, messageDuplication = 0.02, leaderKillEveryS = 12.0),
        "leaders isolated from the key-value store" to FaultSchedule(messageDelay = 0.03, leaderIsolationEveryS = 20.0),
        "lost and hanging machines" to
            FaultSchedule(messageDelay = 0.02, machineLossEveryS = 15.0, machineHangEveryS = 10.0),
        "delayed duplicates of heartbeats" to
            FaultSchedule(messageDelay = 0.02, delayedHeartbeatDuplicates = 0.3, leaderKillEveryS = 20.0),
        "machines that lose replies" to FaultSchedule(delayedHeartbeatDuplicates = 0.05, permanentReplyLossEveryS = 20.0),
        "quick restarts of processes and machines" to FaultSchedule(
            messageDelay = 0.02,
            delayedHeartbeatDuplicates = 0.1,
            leaderKillEveryS = 10.0,
            machineRestartEveryS = 6.0,
            quickRestarts = true,
        ),
        "rack failures and zone partitions" to FaultSchedule(
            messageDelay = 0.02,
            rackFailureEveryS = 40.0,
            zonePartitionEveryS = 40.0,
            delayedHeartbeatDuplicates = 0.05,
            leaderKillEveryS = 40.0,
        ),
        "paused controllers" to FaultSchedule(
            messageDelay = 0.02,
            delayedHeartbeatDuplicates = 0.1,
            controllerPauseEveryS = 8.0,
            machineHangEveryS = 20.0,
        ),
        "pauses during elections" to FaultSchedule(
            messageDuplication = 0.05,
            leaderKillEveryS = 8.0,
            controllerPauseEveryS = 6.0,
            machineRestartEveryS = 15.0,
            zonePartitionEveryS = 60.0,
            quickRestarts = true,
        ),
        "late commits" to FaultSchedule(lateCommits = 0.2, leaderKillEveryS = 25.0, leaderIsolationEveryS = 30.0),
        "outages of the key-value store and killed leaders" to FaultSchedule(
            messageDelay = 0.02,
            storeOutageEveryS = 25.0,
            leaderKillEveryS = 12.0,
            massCancellationEveryS = 30.0,
            quickRestarts = true,
        ),
        "machines that lose heartbeats or replies" to FaultSchedule(
            massHeartbeatLossEveryS = 30.0,
            massReplyLossEveryS = 40.0,
            leaderKillEveryS = 30.0,
            massCancellationEveryS = 40.0,
        ),
        "cancellations and edge-case requests" to FaultSchedule(
            cancellationsAtCompletion = 0.5,
            edgeCaseRequestsEveryS = 2.0,
            massCancellationEveryS = 30.0,
            leaderKillEveryS = 20.0,
            machineHangEveryS = 20.0,
        ),
        "leaders killed before they archive jobs" to
            FaultSchedule(leaderKillsBeforeArchival = 0.3, compactionEveryS = 0.2, shortTasks = true, cancellationsAtCompletion = 0.2),
        "all controllers down" to FaultSchedule(
            messageDelay = 0.02,
            delayedHeartbeatDuplicates = 0.1,
            allControllersDownEveryS = 50.0,
            massCancellationEveryS = 40.0,
        ),
        "delayed reports of failed tasks that were started again" to FaultSchedule(messageDelay = 0.02, delayedFailureReportsEveryS = 60.0),
        "failover, then an outage of the key-value store" to FaultSchedule(failoverThenOutageAtS = 30.0),
        "failover, then an outage, with delayed messages and hanging machines" to FaultSchedule(
            messageDelay = 0.03,
            delayedHeartbeatDuplicates = 0.05,
            machineHangEveryS = 20.0,
            failoverThenOutageAtS = 30.0,
        ),
        "many kinds of faults together" to FaultSchedule(
            messageLoss = 0.05,
            messageDelay = 0.05,
            messageDuplication = 0.05,
            leaderKillEveryS = 25.0,
            leaderIsolationEveryS = 30.0,
            machineLossEveryS = 20.0,
            machineHangEveryS = 15.0,
            delayedHeartbeatDuplicates = 0.05,
            permanentReplyLossEveryS = 40.0,
            machineRestartEveryS = 30.0,
            rackFailureEveryS = 60.0,
            zonePartitionEveryS = 60.0,
            controllerPauseEveryS = 30.0,
        ),
    )
}
