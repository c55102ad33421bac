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
import cleathitch.storage.StoredSizeEstimator
import cleathitch.workers.HeartbeatQueue

/**
 * A controller process: takes part in elections, renews its lease, feeds a [Scheduler] while it leads and executes its effects.
 * Its steady clock runs at [clockRate] times virtual time.
 */
class SimulatedController(private val cluster: SimulatedCluster, val name: String, private val clockRate: Double) {
    private val events = cluster.events
    private val random = cluster.random
    private val store = cluster.store
    private val forwarder = SimulatedForwarder(cluster, this)
    private val commits = SimulatedCommits(cluster, this)
    private var scheduler: Scheduler? = null

    /** Number of the process's present run; what was scheduled by an earlier run does nothing. */
    var processRun = 0
        private set

    /** The newest term in which it was elected. */
    var term = 0L
        private set

    private var renewedAtMs = 0L
    private var storeRefusesUntilMs = 0L
    private var pausedUntilMs = 0L

    val isLeading get() = scheduler != null
    val isPaused get() = events.nowMs < pausedUntilMs
    val hasStore get() = events.nowMs >= storeRefusesUntilMs && !store.isOut

    fun leadsIn(term: Long) = this.term == term && isLeading

    fun steadyMs() = (events.nowMs * clockRate).toLong() + STEADY_CLOCK_START_MS

    /** The key-value store refuses this controller alone. */
    fun isolateFromStore(forMs: Long) {
        storeRefusesUntilMs = events.nowMs + forMs
    }

    fun endIsolation() {
        storeRefusesUntilMs = 0
    }

    /** The process does nothing while its clocks run on; inputs wait until it resumes. */
    fun pause(forMs: Long) {
        pausedUntilMs = events.nowMs + forMs
    }

    /** Schedules [action] for the end of the pause, unless the process is killed before; false if it is not paused. */
    fun postponeWhilePaused(action: () -> Unit): Boolean {
        if (!isPaused) return false
        val postponedBy = processRun
        events.after(pausedUntilMs - events.nowMs) { if (processRun == postponedBy) action() }
        return true
    }

    fun start() {
        val startedRun = processRun
        fun loop() {
            if (processRun != startedRun || postponeWhilePaused(::loop)) return
            store.expireLease()
            if (!isLeading && store.isLeaderless && hasStore) elect()
            if (isLeading && events.nowMs - renewedAtMs >= RENEW_EVERY_MS) renewLease()
            handle(Input.Tick)
            if (!isLeading) forwarder.forward()
            events.after(LOOP_EVERY_MS, ::loop)
        }
        events.after(random.nextLong(LOOP_EVERY_MS), ::loop)
    }

    /** Ends the process; it is back after [downMs], or after a usual restart. */
    fun kill(downMs: Long? = null) {
        resign()
        processRun++
        forwarder.reset()
        if (downMs != null) return events.after(downMs) { start() }
        val quickRestarts = cluster.faults.quickRestarts
        events.after(if (quickRestarts) random.nextLong(10, 400) else random.nextLong(200, 4000)) { start() }
        if (quickRestarts && random.nextBoolean()) {
            events.after(random.nextLong(SimulatedCluster.LEASE_TTL_MS)) { cluster.leader?.let { if (!cluster.isCalm) it.kill() } }
        }
    }

    fun resign() {
        scheduler = null
    }

    /** Gives [input] to the scheduler, if this controller leads. */
    fun handle(input: Input) {
        if (postponeWhilePaused { handle(input) }) return
        val scheduler = scheduler ?: return
        scheduler.handle(listOf(input), clockReading()).forEach(::execute)
    }

    /** A worker's heartbeat reaches this controller, which answers it as the leader or through the leader. */
    fun receive(heartbeat: Heartbeat, answer: (FencingToken, List<WorkerCommand>) -> Unit) {
        if (postponeWhilePaused { receive(heartbeat, answer) }) return
        if (!isLeading) return forwarder.add(heartbeat, answer)
        val request = cluster.pendingRequests.ofHeartbeat { answer(it.token, it.commands) }
        handle(Input.HeartbeatReceived(request, heartbeat))
    }

    /** A follower's [batch] reaches this controller; without an answer if it doesn't lead in the batch's term. */
    fun receive(batch: HeartbeatQueue.Batch, answer: (List<HeartbeatDecision>) -> Unit) {
        if (!leadsIn(batch.term)) return
        val request = cluster.pendingRequests.ofFollowerBatch { answer(it.decisions) }
        handle(Input.FollowerBatchReceived(request, batch.heartbeats))
    }

    private fun clockReading() = ClockReading(steadyMs(), events.nowMs)

    private fun elect() {
        term = store.elect(this)
        commits.begin(store.headRevision)
        renewedAtMs = events.nowMs
        val leaseEndMs = steadyMs() + TRUSTED_LEASE_MS
        scheduler = Scheduler(cluster.deployment, cluster.timings, Term(term), store.snapshot(), clockReading(), StoredSizeEstimator)
        cluster.log("$name leads in term $term")
        handle(Input.LeaseRenewed(leaseEndMs))
        handle(Input.MachineTypesListed(listOf(cluster.machineType)))
    }

    private fun renewLease() {
        val sentMs = steadyMs()
        renewedAtMs = events.nowMs
        if (!hasStore) return
        val renewedTerm = term
        events.after(cluster.storeDelayMs()) {
            val isRenewed = store.renew(renewedTerm)
            events.after(cluster.storeDelayMs()) {
                if (leadsIn(renewedTerm)) {
                    if (isRenewed) handle(Input.LeaseRenewed(sentMs + TRUSTED_LEASE_MS)) else resign()
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
            is Effect.Write -> commits.write(effect.commit)
            is Effect.SendCommands -> call(effect.machine) { it.receive(effect) }
            is Effect.Probe -> call(effect.machine) { it.answerProbe() }
            is Effect.Rent -> rent(effect)
            is Effect.TerminateMachines -> terminate(effect)
            is Effect.ShareImageCacheHints -> Unit
            is Effect.StepDown -> resign()
            is Effect.Log -> cluster.log("$name ${effect.text}")
        }
    }

    /** A direct call to a worker; without an answer within a heartbeat interval the scheduler learns that there is none. */
    private fun call(machine: MachineId, deliver: (SimulatedWorker) -> Heartbeat?) {
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
        events.after((cluster.deployment.reportS * 1000).toLong()) {
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
        const val LOOP_EVERY_MS = 200L
        const val RENEW_EVERY_MS = SimulatedCluster.LEASE_TTL_MS / 4
        const val STEADY_CLOCK_START_MS = 1_000_000

        /** A leader trusts its lease for a little less than its time to live, as its clock may run slow. */
        const val TRUSTED_LEASE_MS = SimulatedCluster.LEASE_TTL_MS * 999 / 1000
    }
}
