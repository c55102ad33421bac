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
 * Takes heartbeats in, whichever way they come, and decides about their answers. An answer renews the worker's lease, so
 * a stale heartbeat, and one of a terminated machine, gets none. Confined to the leader's event loop.
 */
internal class HeartbeatIntake(
    private val context: SchedulerContext,
    private val inventory: Inventory,
    private val jobTable: JobTable,
    private val registry: MachineRegistry,
    private val reconciler: HeartbeatReconciler,
    private val dispatcher: CommandDispatcher,
    private val directReachability: DirectReachability,
    private val imageCacheHints: ImageCacheHints,
) {
    /** A heartbeat that a worker sent to this controller itself. */
    fun heartbeatReceived(input: Input.HeartbeatReceived) {
        when (val decision = decide(input.heartbeat)) {
            is HeartbeatDecision.Answer -> context.emit(Effect.AnswerHeartbeat(input.request, decision.token, decision.commands))
            HeartbeatDecision.Refuse, HeartbeatDecision.RequestFull -> context.emit(Effect.RefuseHeartbeat(input.request))
        }
        // It shows that the path between the workers and this controller is whole.
        directReachability.recordDirectContact()
    }

    /** Decides about a heartbeat that a follower passes on. */
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
     * A worker answered a direct call with [heartbeat]: unlike a heartbeat that was on its way this can't be a late copy,
     * so the machine is alive, and commands can be sent at once.
     */
    fun probeAnswered(heartbeat: Heartbeat) {
        val isFirstContact = inventory.machines[heartbeat.machine]?.lastContactMs == null
        if (!observe(heartbeat)) return
        val machine = inventory.machines.getValue(heartbeat.machine)
        machine.confirm()
        directReachability.recordDirectContact()
        if (isFirstContact) dispatcher.push(machine)
    }

    /** A direct call to the machine got no answer. */
    fun directCallUnanswered(id: MachineId) {
        inventory.machines[id]?.let { directReachability.recordUnansweredCall(it, context.now.steadyMs) }
    }

    /** An unchanged heartbeat stands for its base with a newer sequence number, and is decided like that. */
    private fun decideUnchanged(forwarded: ForwardedHeartbeat.Unchanged): HeartbeatDecision {
        if (registry.isTerminated(forwarded.machine)) return HeartbeatDecision.Refuse
        val machine = inventory.machines[forwarded.machine] ?: return HeartbeatDecision.RequestFull
        val heartbeat = machine.expand(forwarded) ?: return HeartbeatDecision.RequestFull
        return decide(heartbeat)
    }

    private fun decide(heartbeat: Heartbeat): HeartbeatDecision {
        if (!context.mayAnswerMachines() || !observe(heartbeat)) return HeartbeatDecision.Refuse
        val machine = inventory.machines.getValue(heartbeat.machine)
        machine.recordAnswerableHeartbeat(heartbeat, context.now.steadyMs)
        return dispatcher.replyTo(machine)
    }

    /**
     * Takes over what the heartbeat shows; false if it must not be answered, as it is stale or its machine is terminated.
     *
     * Every heartbeat taken over moves the bound of the machine's lease, also one that isn't answered: the machine's
     * incarnation may just have begun, under a lease of its own.
     */
    private fun observe(heartbeat: Heartbeat): Boolean {
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
        registry.register(heartbeat.machine, Offer(heartbeat.type, heartbeat.zone, heartbeat.spot), context.now.steadyMs)

    private fun recordHeartbeat(machine: Machine, heartbeat: Heartbeat) {
        val isFirstContact = machine.lastContactMs == null
        machine.recordHeartbeat(heartbeat, context.now.steadyMs)
        machine.extendLease(registry.leaseEndFromNowMs())
        if (heartbeat.token >= dispatcher.firstToken) machine.confirm()
        if (isFirstContact) imageCacheHints.applyTo(machine)
    }

    private fun recordUp(machine: Machine) {
        machine.recordUp(context.now.steadyMs)
        context.logEvent(LogLevel.INFO) {
            "event=machine_up machine=${machine.id} type=${machine.offer.type} zone=${machine.offer.zone} spot=${machine.offer.spot}"
        }
    }

    /** Stops what can save its progress on a machine that is about to be preempted, so that it is saved in time. */
    private fun drain(machine: Machine) {
        for (attempt in jobTable.attemptsOn(machine.id)) {
            if (attempt.stopCause == null && attempt.job.spec.checkpointIntervalS > 0) attempt.requestStop(StopCause.DRAIN)
        }
    }
}
