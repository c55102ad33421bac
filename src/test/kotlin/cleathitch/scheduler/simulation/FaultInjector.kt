package cleathitch.scheduler.simulation

import cleathitch.scheduler.model.MachineId
import kotlin.random.Random

/** Injects the faults of a [FaultSchedule] for as long as the cluster isn't calm. */
class FaultInjector(private val cluster: SimulatedCluster, private val random: Random) {
    private val faults = cluster.faults
    private val events = cluster.events
    private val cloud = cluster.cloud
    private val store = cluster.store

    /** The order of these lines is part of a seed's meaning: it decides which of two events of the same time comes first. */
    fun start() {
        every(faults.leaderKillEveryS) { cluster.leader?.kill() }
        every(faults.leaderIsolationEveryS) { cluster.leader?.isolateFromStore(random.nextLong(1000, 30_000)) }
        every(faults.machineLossEveryS) { cloud.machines.keys.randomOrNull(random)?.let(cloud::terminate) }
        every(faults.missedRepliesEveryS) { randomWorker()?.loseReplies(SimulatedWorker.FOREVER) }
        every(faults.machineRestartEveryS) { randomWorker()?.restart() }
        every(faults.rackFailureEveryS) { stopRack() }
        every(faults.zonePartitionEveryS) {
            cluster.network.partitionZone(cluster.deployment.zones.random(random), forMs = random.nextLong(5_000, 60_000))
        }
        every(faults.controllerPauseEveryS) { pauseController() }
        every(faults.storeOutageEveryS) { store.outage(random.nextLong(500, sometimes(50_000, otherwise = 8000))) }
        every(faults.lostHeartbeatsEveryS) { randomThird().forEach { it.loseHeartbeats(untilMs = upToAMinuteFromNow()) } }
        every(faults.fleetMissesRepliesEveryS) { randomThird().forEach { it.loseReplies(untilMs = upToAMinuteFromNow()) } }
        every(faults.massCancellationEveryS) { cluster.users.cancelRunningJobs(hang = true) }
        every(faults.unusualRequestsEveryS) { cluster.users.sendUnusualRequests() }
        every(faults.allControllersDownEveryS) { killAllControllers() }
        if (faults.failoverThenOutageAtS > 0) events.after((faults.failoverThenOutageAtS * 1000).toLong(), ::failoverThenOutage)
        every(faults.machineHangEveryS) { randomWorker()?.hang() }
    }

    /** Ends the faults that last, except machines that have lost their replies for good. */
    fun stop() {
        cluster.controllers.forEach { it.endIsolation() }
        store.endOutage()
        cloud.machines.values.forEach { it.restoreConnections() }
        cluster.network.healPartitions()
    }

    /** Injects [fault] at random times, [meanS] apart on average; never if that is 0. */
    private fun every(meanS: Double, fault: () -> Unit) {
        if (meanS <= 0) return
        fun next() {
            if (!cluster.isCalm) fault()
            events.after((meanS * 1000 * random.nextDouble(0.3, 1.7)).toLong(), ::next)
        }
        events.after((meanS * 1000).toLong(), ::next)
    }

    private fun randomWorker() = cloud.machines.values.randomOrNull(random)

    private fun randomThird() = cloud.machines.values.shuffled(random).take(1 + cloud.machines.size / 3)

    private fun upToAMinuteFromNow() = events.nowMs + random.nextLong(60_000)

    /** [rare] once in four times. */
    private fun sometimes(rare: Long, otherwise: Long) = if (random.nextInt(4) == 0) rare else otherwise

    private fun stopRack() {
        val rack: List<MachineId> = cloud.machines.keys.shuffled(random).take(cloud.machines.size / 4)
        rack.forEach(cloud::terminate)
    }

    private fun pauseController() {
        val paused = if (random.nextBoolean()) cluster.leader ?: cluster.randomController() else cluster.randomController()
        paused.pause(random.nextLong(1000, sometimes(50_000, otherwise = 6000)))
    }

    private fun killAllControllers() {
        val downMs = random.nextLong((cluster.deployment.leaseS * 1300).toLong())
        cluster.controllers.forEach { it.kill(downMs + random.nextLong(2000)) }
    }

    /** The store refuses the leader alone, its successor confirms cancellations, and then the store is out beyond their deadline. */
    private fun failoverThenOutage() {
        val deposed = cluster.leader ?: return events.after(POLL_LEADER_EVERY_MS, ::failoverThenOutage)
        deposed.isolateFromStore(ISOLATION_MS)
        fun onSuccession() {
            val successor = store.leader
            if (cluster.leader == null || successor === deposed || successor?.isLeading != true) {
                return events.after(POLL_SUCCESSOR_EVERY_MS, ::onSuccession)
            }
            cluster.users.cancelRunningJobs(hang = random.nextBoolean())
            events.after(random.nextLong(100, 1500)) { store.outage((cluster.deployment.cancelS * 1200).toLong()) }
        }
        onSuccession()
    }

    private companion object {
        const val ISOLATION_MS = 14_000L
        const val POLL_LEADER_EVERY_MS = 200L
        const val POLL_SUCCESSOR_EVERY_MS = 50L
    }
}
