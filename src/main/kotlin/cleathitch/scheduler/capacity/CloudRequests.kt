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
import cleathitch.scheduler.machines.TerminationReason
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.MS_PER_S
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.Term

/**
 * The rentals and terminations that the leader requests from the cloud provider. Each is recorded in the decision log before it is
 * sent, so that the next leader knows of it. A request is resent until the cloud provider answers it. A resent rental keeps its
 * request name, so that a lost response doesn't cause a second rental.
 */
internal class CloudRequests(
    private val context: SchedulerContext,
    private val deployment: Deployment,
    private val timings: SchedulerTimings,
    private val inventory: Inventory,
    private val decisionLog: DecisionLog,
    term: Term,
    /** Whether the cloud provider has confirmed the machine's termination; a delayed rental response may still contain such a machine. */
    private val isTerminated: (MachineId) -> Boolean,
    /** Adds a rented machine to the inventory. */
    private val register: (MachineId, Offer) -> Machine,
) {
    private val rentalSentMs = HashMap<String, Long>()
    private val terminationSentMs = HashMap<MachineId, Long>()

    /**
     * The log records of the rentals and terminations requested in this term, by request name or machine identifier. A request is
     * sent only once its record is committed.
     */
    private val recordByRequest = HashMap<String, LogIndex>()
    private val requestPrefix = "r-${term.revision}-"
    private var rentalsRequested = 0L
    private var lastTerminationCallMs = 0L

    /** Records the rental of [count] machines of [offer]; the call is made once the record is committed. */
    fun requestRental(offer: Offer, count: Int) {
        val rental = Event.RentalRequested("$requestPrefix${rentalsRequested++}", offer, count)
        recordByRequest[rental.request] = context.append(rental)
        context.logEvent(LogLevel.INFO) { "event=rental_requested ${describe(rental)}" }
    }

    /** Records the termination of the machine; the call is made once the record is committed. */
    fun requestTermination(id: MachineId, reason: TerminationReason) {
        // All unconfirmed terminations have to fit into one stored value. Beyond that no termination is requested; the caller
        // requests it again in its next round.
        if (inventory.terminatingMachines.size >= deployment.maxStoredValueBytes / BYTES_PER_TERMINATION) return
        recordByRequest[id.text] = context.append(Event.MachineTerminationRequested(id))
        context.logEvent(LogLevel.INFO) { "event=termination_requested machine=$id reason=${reason.logName}" }
    }

    /** Handles the cloud provider's confirmation that the machine is terminated. */
    fun recordTermination(id: MachineId) {
        recordByRequest.remove(id.text)
    }

    fun onRentalAnswer(completed: Input.RentalCompleted) {
        val request = completed.request
        rentalSentMs.remove(request)
        recordByRequest.remove(request)
        val rental = inventory.pendingRentals[request] ?: return
        when (val answer = completed.answer) {
            is RentalAnswer.Rented -> recordRented(rental, answer.machines)
            RentalAnswer.NoCapacity, RentalAnswer.Rejected -> recordRefused(rental)
            RentalAnswer.Unknown -> rentalSentMs[request] = context.now.monotonicMs
        }
    }

    /**
     * Records the rented machines. The cloud provider may rent out fewer than requested; the rental counts as completed nevertheless,
     * so the missing machines aren't requested again under its request name.
     */
    private fun recordRented(rental: Event.RentalRequested, rented: List<MachineId>) {
        rented.filter { !isTerminated(it) }.forEach { register(it, rental.offer).confirmExistence() }
        if (rented.size < rental.count) inventory.recordRefusal(rental.offer, context.now.monotonicMs)
        context.append(Event.RentalResolved(rental.request))
        context.logEvent(LogLevel.INFO) { "event=rental_completed ${describe(rental)} rented=${rented.size}" }
    }

    private fun recordRefused(rental: Event.RentalRequested) {
        inventory.recordRefusal(rental.offer, context.now.monotonicMs)
        context.append(Event.RentalResolved(rental.request))
        context.logEvent(LogLevel.INFO) { "event=rental_refused ${describe(rental)}" }
    }

    private fun describe(rental: Event.RentalRequested) = with(rental) {
        "request=$request type=${offer.type} zone=${offer.zone} spot=${offer.spot} count=$count"
    }

    /** Sends the requests whose records are committed, and resends those that have been unanswered for one heartbeat period. */
    fun sendDue() {
        sendRentals()
        sendTerminations()
    }

    private fun sendRentals() {
        for (rental in inventory.pendingRentals.values) {
            if (!isCommitted(rental.request) || !isDue(rentalSentMs[rental.request])) continue
            rentalSentMs[rental.request] = context.now.monotonicMs
            context.emit(Effect.Rent(rental))
        }
    }

    /** Batches terminations: those requested within the minimum interval between two calls share one call. */
    private fun sendTerminations() {
        if (inventory.terminatingMachines.isNotEmpty() &&
            context.now.monotonicMs - lastTerminationCallMs >= timings.minTerminationIntervalMs
        ) {
            val due = inventory.terminatingMachines.filter {
                isCommitted(it.text) && isDue(terminationSentMs[it])
            }.take(MAX_TERMINATIONS_PER_CALL)
            if (due.isNotEmpty()) {
                lastTerminationCallMs = context.now.monotonicMs
                due.forEach { terminationSentMs[it] = context.now.monotonicMs }
                context.emit(Effect.TerminateMachines(due))
            }
        }
        if (terminationSentMs.size > inventory.terminatingMachines.size) terminationSentMs.keys.retainAll(inventory.terminatingMachines)
    }

    private fun isDue(sentMs: Long?): Boolean {
        val retryAfterMs = (deployment.heartbeatPeriodS * MS_PER_S).toLong()
        return sentMs == null || context.now.monotonicMs - sentMs >= retryAfterMs
    }

    /**
     * Whether the request's record is committed. Requests of earlier terms have no entry in [recordByRequest], because their records
     * were already committed when this term started.
     */
    private fun isCommitted(request: String) = (recordByRequest[request] ?: LogIndex.NONE) <= decisionLog.committedIndex

    private companion object {
        /** The cloud provider's limit for one termination call. */
        const val MAX_TERMINATIONS_PER_CALL = 100

        /**
         * Number of bytes of a stored value that are allowed for each unconfirmed termination: about twice the size of a machine's
         * identifier there, because the pending rentals are stored in the same value.
         */
        const val BYTES_PER_TERMINATION = 27
    }
}
