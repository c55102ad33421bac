package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.MachineId
import kotlin.random.Random

/** Injects the faults of the cluster's [FaultSchedule] until [SimulatedCluster.endFaults] is called. */
class FaultInjector(private val cluster: SimulatedCluster, private val random: Random) {
    private val faults = cluster.faults
    private val events = cluster.events
    private val cloud = cluster.cloud
    private val store = cluster.store

    /**
     * Schedules all faults. Events at the same time run in the order in which they were scheduled, so another order of these calls
     * changes the run that a seed reproduces.
     */
    fun start() {
        injectPeriodically(faults.leaderKillEveryS) { cluster.leader?.kill() }
        injectPeriodically(faults.leaderIsolationEveryS) { cluster.leader?.isolateFromStore(random.nextLong(1000, 30_000)) }
        injectPeriodically(faults.machineLossEveryS) { cloud.machines.keys.randomOrNull(random)?.let(cloud::terminate) }
        injectPeriodically(faults.permanentReplyLossEveryS) { randomWorker()?.loseReplies(SimulatedWorker.FOREVER) }
        injectPeriodically(faults.machineRestartEveryS) { randomWorker()?.restart() }
        injectPeriodically(faults.rackFailureEveryS) { terminateRack() }
        injectPeriodically(faults.zonePartitionEveryS) {
            cluster.network.partitionZone(cluster.deployment.zones.random(random), durationMs = random.nextLong(5_000, 60_000))
        }
        injectPeriodically(faults.controllerPauseEveryS) { pauseController() }
        injectPeriodically(faults.storeOutageEveryS) { store.startOutage(random.nextLong(500, oneInFour(50_000, otherwise = 8000))) }
        injectPeriodically(faults.massHeartbeatLossEveryS) {
            randomThirdOfWorkers().forEach { it.loseHeartbeats(untilMs = randomTimeWithinAMinute()) }
        }
        injectPeriodically(faults.massReplyLossEveryS) {
            randomThirdOfWorkers().forEach { it.loseReplies(untilMs = randomTimeWithinAMinute()) }
        }
        injectPeriodically(faults.massCancellationEveryS) { cluster.users.cancelRunningJobs(hang = true) }
        injectPeriodically(faults.edgeCaseRequestsEveryS) { cluster.users.sendEdgeCaseRequests() }
        injectPeriodically(faults.allControllersDownEveryS) { killAllControllers() }
        injectPeriodically(faults.delayedFailureReportsEveryS) { failTasksAndDelayReports() }
        if (faults.failoverThenOutageAtS > 0) events.schedule((faults.failoverThenOutageAtS * 1000).toLong(), ::failoverThenOutage)
        injectPeriodically(faults.machineHangEveryS) { randomWorker()?.hang() }
    }

    /**
     * Ends isolations, outages, connection faults and partitions, except a permanent loss of replies. Pauses and hangs end by
     * themselves.
     */
    fun stop() {
        cluster.controllers.forEach { it.endIsolation() }
        store.endOutage()
        cloud.machines.values.forEach { it.restoreConnections() }
        cluster.network.healPartitions()
    }

    /** Injects [fault] at random intervals with a mean of [meanS] seconds, or never if [meanS] is 0. */
    private fun injectPeriodically(meanS: Double, fault: () -> Unit) {
        if (meanS <= 0) return
        fun injectNext() {
            if (!cluster.faultsEnded) fault()
            events.schedule((meanS * 1000 * random.nextDouble(0.3, 1.7)).toLong(), ::injectNext)
        }
        events.schedule((meanS * 1000).toLong(), ::injectNext)
    }

    private fun randomWorker() = cloud.machines.values.randomOrNull(random)

    private fun randomThirdOfWorkers() = cloud.machines.values.shuffled(random).take(1 + cloud.machines.size / 3)

    private fun randomTimeWithinAMinute() = events.nowMs + random.nextLong(60_000)

    /** Returns [rare] with a probability of 1/4. */
    private fun oneInFour(rare: Long, otherwise: Long) = if (random.nextInt(4) == 0) rare else otherwise

    private fun terminateRack() {
        val rack: List<MachineId> = cloud.machines.keys.shuffled(random).take(cloud.machines.size / 4)
        rack.forEach(cloud::terminate)
    }

    private fun pauseController() {
        val paused = if (random.nextBoolean()) cluster.leader ?: cluster.randomController() else cluster.randomController()
        paused.pause(random.nextLong(1000, oneInFour(50_000, otherwise = 6000)))
    }

    private fun killAllControllers() {
        val downMs = random.nextLong((cluster.deployment.workerLeaseS * 1300).toLong())
        cluster.controllers.forEach { it.kill(downMs + random.nextLong(2000)) }
    }

    /**
     * Fails all running tasks and kills all controllers until the workers' leases have expired. The next leader is killed after it has
     * started the tasks again; its successor receives the heartbeats that show the failures before any others, and for some seconds
     * no others of a third of the machines.
     */
    private fun failTasksAndDelayReports() {
        val delayedHeartbeats = cloud.machines.values.map { it.failTasks() }
        val leaseMs = (cluster.deployment.workerLeaseS * 1000).toLong()
        cluster.controllers.forEach { it.kill(leaseMs + random.nextLong(2000)) }
        events.schedule(leaseMs + random.nextLong(MIN_RECOVERY_MS, MAX_RECOVERY_MS)) {
            if (cluster.faultsEnded) return@schedule
            cluster.firstHeartbeatsOfNextTerm += delayedHeartbeats
            randomThirdOfWorkers().forEach { it.loseHeartbeats(untilMs = events.nowMs + HEARTBEAT_LOSS_MS) }
            cluster.leader?.kill()
        }
    }

    /**
     * Isolates the leader from the key-value store. Once its successor leads, users cancel jobs, and an outage of the store begins
     * that outlasts the cancellation deadline.
     */
    private fun failoverThenOutage() {
        val isolated = cluster.leader ?: return events.schedule(LEADER_POLL_INTERVAL_MS, ::failoverThenOutage)
        isolated.isolateFromStore(ISOLATION_MS)
        fun cancelOnceSuccessorLeads() {
            val successor = store.leader
            if (cluster.leader == null || successor === isolated || successor?.isLeading != true) {
                return events.schedule(SUCCESSOR_POLL_INTERVAL_MS, ::cancelOnceSuccessorLeads)
            }
            cluster.users.cancelRunningJobs(hang = random.nextBoolean())
            events.schedule(random.nextLong(100, 1500)) { store.startOutage((cluster.deployment.cancellationDeadlineS * 1200).toLong()) }
        }
        cancelOnceSuccessorLeads()
    }

    private companion object {
        const val ISOLATION_MS = 14_000L

        /** Bounds on the time in which a new leader starts the tasks of expired workers' leases again. */
        const val MIN_RECOVERY_MS = 10_000L
        const val MAX_RECOVERY_MS = 16_000L
        const val HEARTBEAT_LOSS_MS = 15_000L
        const val LEADER_POLL_INTERVAL_MS = 200L
        const val SUCCESSOR_POLL_INTERVAL_MS = 50L
    }
}
