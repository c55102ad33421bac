package cleathitch.scheduler.machines

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer

/**
 * Processes heartbeats, whether received directly, forwarded by a follower or returned by a probe, and decides how to answer
 * them. A reply renews the worker's lease, so stale heartbeats and those of terminated machines aren't answered. Confined to
 * the leader's event loop.
 */
internal class HeartbeatHandler(
    private val context: SchedulerContext,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val registry: MachineRegistry,
    private val reconciler: HeartbeatReconciler,
    private val dispatcher: CommandDispatcher,
    private val directReachability: DirectReachability,
    private val imageCacheHints: ImageCacheHints,
) {
    /** Handles a heartbeat that a worker sent to this controller directly. */
    fun onHeartbeatReceived(input: Input.HeartbeatReceived) {
        when (val decision = decide(input.heartbeat)) {
            is HeartbeatDecision.Answer -> context.emit(Effect.AnswerHeartbeat(input.request, decision.token, decision.commands))
            HeartbeatDecision.Refuse, HeartbeatDecision.RequestFull -> context.emit(Effect.RefuseHeartbeat(input.request))
        }
        // Proves that the network path between the workers and this controller works.
        directReachability.recordDirectContact()
    }

    /** Decides how to answer a heartbeat that a follower forwarded. */
    fun decideForwarded(forwarded: ForwardedHeartbeat): HeartbeatDecision {
        if (context.hasSteppedDown || !context.mayAnswerMachines()) return HeartbeatDecision.Refuse
        val decision = when (forwarded) {
            is ForwardedHeartbeat.Full -> decide(forwarded.heartbeat)
            is ForwardedHeartbeat.Unchanged -> decideUnchanged(forwarded)
        }
        if (decision is HeartbeatDecision.Answer) {
            directReachability.recordForwardedHeartbeat(inventory.machines.getValue(forwarded.machine))
        }
        return decision
    }

    /**
     * Handles a worker's response to a direct call. Unlike a periodic heartbeat, [heartbeat] can't be a delayed duplicate, so the
     * machine is alive and commands can be sent immediately.
     */
    fun onProbeAnswered(heartbeat: Heartbeat) {
        val isFirstContact = inventory.machines[heartbeat.machine]?.lastContactMs == null
        if (!applyHeartbeat(heartbeat)) return
        val machine = inventory.machines.getValue(heartbeat.machine)
        machine.confirmExistence()
        directReachability.recordDirectContact()
        if (isFirstContact) dispatcher.push(machine)
    }

    /** Handles a direct call to the machine that wasn't answered. */
    fun onDirectCallUnanswered(id: MachineId) {
        inventory.machines[id]?.let { directReachability.recordUnansweredCall(it, context.now.monotonicMs) }
    }

    /** An unchanged heartbeat is reconstructed from its base and then handled as a full one. */
    private fun decideUnchanged(forwarded: ForwardedHeartbeat.Unchanged): HeartbeatDecision {
        if (registry.isTerminated(forwarded.machine)) return HeartbeatDecision.Refuse
        val machine = inventory.machines[forwarded.machine] ?: return HeartbeatDecision.RequestFull
        val heartbeat = machine.toFullHeartbeat(forwarded) ?: return HeartbeatDecision.RequestFull
        return decide(heartbeat)
    }

    private fun decide(heartbeat: Heartbeat): HeartbeatDecision {
        if (!context.mayAnswerMachines() || !applyHeartbeat(heartbeat)) return HeartbeatDecision.Refuse
        val machine = inventory.machines.getValue(heartbeat.machine)
        machine.recordAnswerableHeartbeat(heartbeat, context.now.monotonicMs)
        return dispatcher.replyTo(machine)
    }

    /**
     * Applies the heartbeat to the machine and the job table. Returns false if it must not be answered, because it is stale or
     * its machine is terminated, or because it reports a token of a newer leader; in the last case this leader steps down.
     *
     * Every applied heartbeat extends the upper bound on the worker's lease, even if it isn't answered: the worker may have just
     * started a new incarnation, which has a lease of its own.
     */
    private fun applyHeartbeat(heartbeat: Heartbeat): Boolean {
        if (heartbeat.token > dispatcher.token) {
            context.stepDown("machine ${heartbeat.machine} has seen token ${heartbeat.token}, ours is ${dispatcher.token}")
            return false
        }
        if (registry.isTerminated(heartbeat.machine)) return false
        val machine = inventory.machines[heartbeat.machine] ?: register(heartbeat)
        if (machine.isStale(heartbeat)) return false
        recordHeartbeat(machine, heartbeat)
        if (machine.state == MachineState.STARTING) recordUp(machine)
        reconciler.reconcile(machine, heartbeat)
        if (machine.preemptionAtMs != null && machine.state == MachineState.UP) drain(machine)
        return true
    }

    private fun register(heartbeat: Heartbeat) =
        registry.register(heartbeat.machine, Offer(heartbeat.type, heartbeat.zone, heartbeat.spot), context.now.monotonicMs)

    private fun recordHeartbeat(machine: Machine, heartbeat: Heartbeat) {
        val isFirstContact = machine.lastContactMs == null
        machine.recordHeartbeat(heartbeat, context.now.monotonicMs)
        machine.extendLease(registry.leaseEndFromNowMs())
        if (heartbeat.token >= dispatcher.firstToken) machine.confirmExistence()
        if (isFirstContact) imageCacheHints.applyTo(machine)
    }

    private fun recordUp(machine: Machine) {
        machine.recordUp(context.now.monotonicMs)
        context.logEvent(LogLevel.INFO) {
            "event=machine_up machine=${machine.id} type=${machine.offer.type} zone=${machine.offer.zone} spot=${machine.offer.spot}"
        }
    }

    /** On a machine that is about to be reclaimed, stops the attempts that write checkpoints, so that progress is saved in time. */
    private fun drain(machine: Machine) {
        for (attempt in jobTable.attemptsOn(machine.id)) {
            if (attempt.stopCause == null && attempt.job.spec.checkpointIntervalS > 0) attempt.requestStop(StopCause.DRAIN)
        }
    }
}
