package cleathitch.scheduler.simulation

import cleathitch.scheduler.Scheduler
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.RentalAnswer
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.storage.LogSizes
import cleathitch.workers.HeartbeatQueue

/**
 * A controller process: takes part in elections and renews its lease. While it leads, it passes inputs to a [Scheduler] and executes
 * its effects. Its monotonic clock runs at [clockRate] times the speed of virtual time.
 */
class SimulatedController(private val cluster: SimulatedCluster, val name: String, private val clockRate: Double) {
    private val events = cluster.events
    private val random = cluster.random
    private val store = cluster.store
    private val forwarder = SimulatedHeartbeatForwarder(cluster, this)
    private val logStorage = SimulatedLogStorage(cluster, this)
    private var scheduler: Scheduler? = null

    /** Incremented each time the process is killed; actions scheduled by an earlier incarnation are ignored. */
    var incarnation = 0
        private set

    /** The latest term for which this controller was elected. */
    var term = 0L
        private set

    private var lastRenewalMs = 0L
    private var isolatedUntilMs = 0L
    private var pausedUntilMs = 0L

    val isLeading get() = scheduler != null
    val isPaused get() = events.nowMs < pausedUntilMs
    val canReachStore get() = events.nowMs >= isolatedUntilMs && !store.isUnavailable

    fun isLeadingIn(term: Long) = this.term == term && isLeading

    fun monotonicMs() = (events.nowMs * clockRate).toLong() + MONOTONIC_CLOCK_START_MS

    /** Makes the key-value store refuse requests of this controller only. */
    fun isolateFromStore(durationMs: Long) {
        isolatedUntilMs = events.nowMs + durationMs
    }

    fun endIsolation() {
        isolatedUntilMs = 0
    }

    /** Pauses the process while its clocks continue to run. Inputs are deferred until it resumes. */
    fun pause(durationMs: Long) {
        pausedUntilMs = events.nowMs + durationMs
    }

    /** If the process is paused, defers [action] until it resumes and returns true. The action is dropped if the process is killed. */
    fun deferWhilePaused(action: () -> Unit): Boolean {
        if (!isPaused) return false
        val deferringIncarnation = incarnation
        events.schedule(pausedUntilMs - events.nowMs) { if (incarnation == deferringIncarnation) action() }
        return true
    }

    fun start() {
        val startIncarnation = incarnation
        fun loop() {
            if (incarnation != startIncarnation || deferWhilePaused(::loop)) return
            store.expireLease()
            if (!isLeading && store.isLeaderless && canReachStore) becomeLeader()
            if (isLeading && events.nowMs - lastRenewalMs >= RENEWAL_INTERVAL_MS) renewLease()
            handle(Input.Tick)
            if (!isLeading) forwarder.forward()
            events.schedule(LOOP_INTERVAL_MS, ::loop)
        }
        events.schedule(random.nextLong(LOOP_INTERVAL_MS), ::loop)
    }

    /** Kills the process. It restarts after [downMs], or after a random restart time if that is null. */
    fun kill(downMs: Long? = null) {
        stepDown()
        incarnation++
        forwarder.reset()
        if (downMs != null) return events.schedule(downMs) { start() }
        val quickRestarts = cluster.faults.quickRestarts
        events.schedule(if (quickRestarts) random.nextLong(10, 400) else random.nextLong(200, 4000)) { start() }
        if (quickRestarts && random.nextBoolean()) {
            events.schedule(random.nextLong(SimulatedCluster.LEASE_TTL_MS)) { cluster.leader?.let { if (!cluster.faultsEnded) it.kill() } }
        }
    }

    fun stepDown() {
        scheduler = null
    }

    /** Passes [input] to the scheduler if this controller leads; otherwise drops it. */
    fun handle(input: Input) {
        if (deferWhilePaused { handle(input) }) return
        val scheduler = scheduler ?: return
        scheduler.handle(listOf(input), clockReading()).forEach(::execute)
    }

    /** Receives the heartbeat of a worker and answers it if this controller leads; otherwise forwards it to the leader. */
    fun receive(heartbeat: Heartbeat, answer: (FencingToken, List<WorkerCommand>) -> Unit) {
        if (deferWhilePaused { receive(heartbeat, answer) }) return
        if (!isLeading) return forwarder.add(heartbeat, answer)
        val request = cluster.pendingRequests.addHeartbeat { answer(it.token, it.commands) }
        handle(Input.HeartbeatReceived(request, heartbeat))
    }

    /** Receives the [batch] of a follower. It is not answered unless this controller leads in the batch's term. */
    fun receive(batch: HeartbeatQueue.Batch, answer: (List<HeartbeatDecision>) -> Unit) {
        if (!isLeadingIn(batch.term)) return
        val request = cluster.pendingRequests.addFollowerBatch { answer(it.decisions) }
        handle(Input.FollowerBatchReceived(request, batch.heartbeats))
    }

    private fun clockReading() = ClockReading(monotonicMs(), events.nowMs)

    private fun becomeLeader() {
        term = store.elect(this)
        logStorage.startTerm(store.headRevision)
        lastRenewalMs = events.nowMs
        val leaseEndMs = monotonicMs() + USABLE_LEASE_MS
        scheduler =
            Scheduler(
                cluster.deployment,
                cluster.timings,
                Term(term),
                store.snapshot(),
                clockReading(),
                LogSizes("cleathitch/", "leader/cleathitch"),
            )
        cluster.log("$name leads in term $term")
        handle(Input.LeaseRenewed(leaseEndMs))
        handle(Input.MachineTypesListed(listOf(cluster.machineType)))
        receiveDelayedHeartbeats()
    }

    /** Nobody gets the answers: the workers have given up these heartbeats. */
    private fun receiveDelayedHeartbeats() {
        val delayed = cluster.firstHeartbeatsOfNextTerm.toList()
        cluster.firstHeartbeatsOfNextTerm.clear()
        delayed.forEach { handle(Input.HeartbeatReceived(cluster.pendingRequests.newRequestId(), it)) }
    }

    private fun renewLease() {
        val sentMs = monotonicMs()
        lastRenewalMs = events.nowMs
        if (!canReachStore) return
        val renewedTerm = term
        events.schedule(cluster.storeDelayMs()) {
            val isRenewed = store.renew(renewedTerm)
            events.schedule(cluster.storeDelayMs()) {
                if (isLeadingIn(renewedTerm)) {
                    if (isRenewed) handle(Input.LeaseRenewed(sentMs + USABLE_LEASE_MS)) else stepDown()
                }
            }
        }
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.Answer -> cluster.pendingRequests.answer(effect)
            is Effect.AnswerHeartbeat -> cluster.pendingRequests.answer(effect)
            is Effect.RefuseHeartbeat -> cluster.pendingRequests.refuse(effect)
            is Effect.AnswerFollower -> cluster.pendingRequests.answer(effect)
            is Effect.Write -> logStorage.write(effect.commit)
            is Effect.SendCommands -> callWorker(effect.machine) { it.receive(effect) }
            is Effect.Probe -> callWorker(effect.machine) { it.answerProbe() }
            is Effect.Rent -> rent(effect)
            is Effect.TerminateMachines -> terminate(effect)
            is Effect.ShareImageCacheHints -> Unit
            is Effect.StepDown -> stepDown()
            is Effect.Log -> cluster.log("$name ${effect.text}")
        }
    }

    /** Calls a worker directly. After one heartbeat period without an answer the scheduler is told that the call is unanswered. */
    private fun callWorker(machine: MachineId, deliver: (SimulatedWorker) -> Heartbeat?) {
        val callingTerm = term
        var isAnswered = false
        cluster.network.send {
            cluster.cloud.machines[machine]?.let(deliver)?.let { heartbeat ->
                cluster.network.send {
                    isAnswered = true
                    handle(Input.ProbeAnswered(heartbeat))
                }
            }
        }
        events.schedule((cluster.deployment.heartbeatPeriodS * 1000).toLong()) {
            if (!isAnswered && term == callingTerm) handle(Input.DirectCallUnanswered(machine))
        }
    }

    private fun rent(effect: Effect.Rent) = cluster.network.send {
        val machines = cluster.cloud.rent(effect.rental)
        cluster.network.send { handle(Input.RentalCompleted(effect.rental.request, RentalAnswer.Rented(machines))) }
    }

    private fun terminate(effect: Effect.TerminateMachines) = cluster.network.send {
        effect.machines.forEach(cluster.cloud::terminate)
        cluster.network.send { handle(Input.MachinesTerminated(effect.machines)) }
    }

    private companion object {
        const val LOOP_INTERVAL_MS = 200L
        const val RENEWAL_INTERVAL_MS = SimulatedCluster.LEASE_TTL_MS / 4
        const val MONOTONIC_CLOCK_START_MS = 1_000_000

        /** A leader relies on its lease for slightly less than the time to live, because its clock may run slow. */
        const val USABLE_LEASE_MS = SimulatedCluster.LEASE_TTL_MS * 999 / 1000
    }
}
