package cleathitch.scheduler.capacity

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.RentalAnswer
import cleathitch.scheduler.api.SchedulerContext
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.logEvent
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.Term

/**
 * What the leader asks of the cloud: rentals and returns. Each is recorded before it is sent, and sent again under the
 * same name until it is answered.
 */
internal class CloudRequests(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val timings: SchedulerTimings,
    private val fleet: Inventory,
    private val decisionLog: DecisionLog,
    term: Term,
    private val isGone: (MachineId) -> Boolean,
    private val adopt: (MachineId, Offer) -> Machine,
) {
    private val rentalSentMs = HashMap<String, Long>()
    private val returnSentMs = HashMap<MachineId, Long>()

    /** The records of this term's rentals and returns, by name: nothing is sent before its record stands. */
    private val recordOf = HashMap<String, LogIndex>()
    private val requestPrefix = "r-${term.revision}-"
    private var rentals = 0L
    private var lastReturnMs = 0L

    /** Asks for [count] machines like [offer]. */
    fun rent(offer: Offer, count: Int) {
        val asked = Event.RentalRequested("$requestPrefix${rentals++}", offer, count)
        recordOf[asked.request] = context.append(asked)
        context.logEvent(LogLevel.INFO) { "rental ${asked.request}: asking for $count $offer" }
    }

    /** The cloud has confirmed that the machine is gone. */
    fun returned(id: MachineId) {
        recordOf.remove(id.text)
    }

    fun retire(id: MachineId, reason: String) {
        // What isn't settled yet has to fit into one value.
        if (fleet.retired.size >= deployment.stateValueBytes / RETIRED_BYTES) return
        recordOf[id.text] = context.append(Event.MachineTerminationRequested(id))
        context.logEvent(LogLevel.INFO) { "machine $id is returned: $reason" }
    }

    fun rentalAnswered(command: Input.RentalCompleted) {
        rentalSentMs.remove(command.request)
        recordOf.remove(command.request)
        val asked = fleet.rentals[command.request] ?: return
        when (val answer = command.answer) {
            is RentalAnswer.Rented -> {
                answer.machines.filter { !isGone(it) }.forEach { adopt(it, asked.offer).confirmed = true }
                if (answer.machines.size < asked.count) fleet.refused(asked.offer, context.now.steadyMs)
                context.append(Event.RentalResolved(command.request))
                context.logEvent(LogLevel.INFO) { "rental ${command.request}: ${answer.machines.size} of ${asked.count} ${asked.offer}" }
            }
            RentalAnswer.NoCapacity, RentalAnswer.Rejected -> {
                fleet.refused(asked.offer, context.now.steadyMs)
                context.append(Event.RentalResolved(command.request))
                context.logEvent(LogLevel.INFO) { "rental ${command.request}: refused ${asked.offer}" }
            }
            RentalAnswer.Unknown -> rentalSentMs[command.request] = context.now.steadyMs
        }
    }

    /** Rentals and returns whose answer is lost are sent again under the same names. */
    fun send() {
        val againMs = (deployment.reportS * 1000).toLong()
        for (asked in fleet.rentals.values) {
            val sent = rentalSentMs[asked.request]
            if (recorded(asked.request) && (sent == null || context.now.steadyMs - sent >= againMs)) {
                rentalSentMs[asked.request] = context.now.steadyMs
                context.emit(Effect.Rent(asked))
            }
        }
        // Returns go many to a call; the gap gathers them.
        if (fleet.retired.isNotEmpty() && context.now.steadyMs - lastReturnMs >= timings.returnGapMs) {
            val due = fleet.retired.filter { id ->
                val sent = returnSentMs[id]
                recorded(id.text) && (sent == null || context.now.steadyMs - sent >= againMs)
            }.take(RETURNS_PER_CALL)
            if (due.isNotEmpty()) {
                lastReturnMs = context.now.steadyMs
                due.forEach { returnSentMs[it] = context.now.steadyMs }
                context.emit(Effect.TerminateMachines(due))
            }
        }
        if (returnSentMs.size > fleet.retired.size) returnSentMs.keys.retainAll(fleet.retired)
    }

    private fun recorded(name: String) = (recordOf[name] ?: LogIndex.NONE) <= decisionLog.committedIndex

    private companion object {
        /** The page's limit for one call. */
        const val RETURNS_PER_CALL = 100

        /** Returns that aren't confirmed yet stand in one value with the rentals; a name takes about half as much there. */
        const val RETIRED_BYTES = 27
    }
}
