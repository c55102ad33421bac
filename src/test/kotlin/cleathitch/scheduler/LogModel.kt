package cleathitch.scheduler

import cleathitch.scheduler.jobs.Attempt
import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.StoreHealth
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.StoreLimits
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.simulation.SimulatedCluster
import cleathitch.scheduler.simulation.StoredEntries
import cleathitch.storage.LogCodec
import cleathitch.storage.LogSizes
import cleathitch.storage.TransactionLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import kotlin.random.Random

/**
 * Random decisions of leaders that follow each other, their commits in a store with [limits], and a reference that applies each
 * committed event once. After every take-over the replayed state must be that of the reference.
 */
class LogModel(private val random: Random, private var limits: StoreLimits) {
    private val deployment = SimulatedCluster.defaultDeployment
    private val store = StoredEntries()
    private val reference = State()
    private var leader = State()
    private var health = StoreHealth(limits)
    private var log = DecisionLog(health, SIZES)
    private var term = 1L
    private var lastJob = 0
    private var lastRequest = 0

    private inner class State(val jobs: JobTable = JobTable(), val inventory: Inventory = Inventory(deployment)) {
        fun apply(event: Event, index: LogIndex) = when (event) {
            is Event.JobEvent -> if (jobs.finalState(event.job) == null) jobs.apply(event, index) else Unit
            is Event.InventoryEvent -> inventory.apply(event)
        }

        /** All that a replay has to restore. A finished job counts as archived, because compaction may archive it at any time. */
        fun describe(): Map<String, Any> {
            val all = (1..lastJob).map { JobId("j-$it") }
            return mapOf(
                "final" to all.filter { isFinished(it) },
                "open" to all.filter { !isFinished(it) }.mapNotNull(jobs::job).map(::describe),
                "rentals" to inventory.pendingRentals.values.toList(),
                "terminating" to inventory.terminatingMachines.toSet(),
            )
        }

        private fun isFinished(id: JobId) =
            jobs.finalState(id) != null || jobs.job(id)?.let { it.isTerminal && it.liveAttempts.isEmpty() } == true

        private fun describe(job: Job) = listOf(
            job.spec,
            job.acceptedAtWallMs,
            job.isCancelled,
            job.completedCount,
            job.completedTaskBits().toList(),
            job.lastAttemptNumber,
            job.liveAttempts.values.map { it.id to it.machine }.sortedBy { it.first.task.index },
        )
    }

    /** Makes a random decision. */
    fun decide() {
        val job = leader.jobs.jobs.randomOrNull(random)
        when (random.nextInt(10)) {
            0 -> append(Event.JobAccepted(newSpec(), 5_000_000_000L + lastJob)) { log.excessBytes(it) == 0 }
            1 -> if (job != null && random.nextInt(8) == 0 && !job.isTerminal) append(Event.JobCancelled(job.id))
            2, 3, 4 -> job?.let { start(it, count = random.nextInt(300)) }
            5, 6 -> job?.let { end(it, count = random.nextInt(200)) }
            7 -> changeInventory()
            else -> observe()
        }
    }

    private fun start(job: Job, count: Int) = repeat(count) {
        val index = job.nextWaitingTask() ?: return
        append(Event.AttemptStarted(job.id, index, job.lastAttemptNumber + 1, randomMachine()))
    }

    private fun end(job: Job, count: Int) = job.liveAttempts.values.shuffled(random).take(count).forEach { attempt ->
        val isDone = random.nextInt(4) > 0
        val (index, number) = attempt.id.task.index to attempt.id.number
        append(if (isDone) Event.TaskCompleted(job.id, index, number) else Event.AttemptTerminated(job.id, index, number))
    }

    private fun changeInventory() {
        val rental = leader.inventory.pendingRentals.keys.randomOrNull(random)
        val machine = leader.inventory.terminatingMachines.randomOrNull(random)
        when (random.nextInt(4)) {
            0 -> append(Event.RentalRequested("r-$term-${lastRequest++}", Offer("m4", "a", true), 50))
            1 -> rental?.let { append(Event.RentalResolved(it)) }
            2 -> if (leader.inventory.terminatingMachines.size < 40) append(Event.MachineTerminationRequested(randomMachine()))
            else -> machine?.let { append(Event.MachineTerminated(it)) }
        }
    }

    /** Machines report most of the attempts that are live. */
    private fun observe() = leader.jobs.jobs.flatMap { it.liveAttempts.values }.forEach { attempt: Attempt ->
        if (random.nextInt(5) > 0) attempt.observe(TaskState.RUNNING)
    }

    private fun <E : Event> append(event: E, isStorable: (E) -> Boolean = { true }) {
        if (isStorable(event)) leader.apply(event, log.append(event))
    }

    private fun randomMachine() = MachineId("vm-%06d".format(random.nextInt(400)))

    private fun newSpec(): JobSpec {
        val tasks = listOf(1, 3, 60, 3000, 100_000).random(random)
        val types = List(random.nextInt(0, 40)) { "type-$it".padEnd(random.nextInt(8, 256), 'x') }.toSet()
        return SimulatedCluster.jobSpec(1, tasks = tasks).copy(
            id = JobId("j-${++lastJob}"),
            allowedTypes = types.takeIf {
                it.isNotEmpty()
            },
        )
    }

    /** Commits what is pending, with or without compaction. The store keeps its limits, and may reject the commit all the same. */
    fun commit(mayReject: Boolean = false): Boolean {
        val maxChanges = if (random.nextBoolean()) random.nextInt(limits.operations / 2 + 1) else 0
        val commit = log.nextCommit(Term(term), leader.jobs, leader.inventory::snapshot, maxChanges) ?: return false
        val uncommittedBefore = log.committedIndex
        if (mayReject && random.nextInt(REJECTION_ODDS) == 0) return reject(commit)
        assertNull(TransactionLimits.violation(commit, limits))
        store.apply(commit.changes)
        applyToReference(commit, uncommittedBefore)
        log.recordCommitted(commit.index, leader.jobs)
        return true
    }

    /** Rejects [commit], whose records are then planned again within lower limits; if that is impossible, the next leader takes over. */
    private fun reject(commit: Commit): Boolean {
        health.recordRejection(TransactionLimits.transaction(commit).size, nowMs = 0)
        if (!log.recordRejected(commit.index)) takeOver(limits)
        return true
    }

    /** Starts that compaction relocates aren't new events; they are in the commit's last record if their attempts are known already. */
    private fun applyToReference(commit: Commit, committedIndex: LogIndex) =
        commit.changes.filterIsInstance<Mutation.Put>().forEach { put ->
            val record = (put.value as? StoredValue.Record)?.record ?: return@forEach
            record.events.filterNot(::isRelocation).forEach { reference.apply(it, committedIndex) }
        }

    private fun isRelocation(event: Event) = event is Event.AttemptStarted &&
        reference.jobs.job(event.job)?.liveAttempts?.get(event.taskIndex)?.id?.number == event.number

    /** Replaces the leader by one with other limits, which knows only what is stored, and compares what it finds with the reference. */
    fun takeOver(newLimits: StoreLimits) {
        term++
        limits = newLimits
        health = StoreHealth(limits)
        log = DecisionLog(health, SIZES)
        leader = State()
        val recovered = LogCodec.decodeRecoveredState(store.entries(term))
        StateRecovery(leader.jobs, leader.inventory, log).restore(recovered, FencingToken.first(term))
        assertEquals(reference.describe(), leader.describe())
    }

    /** Commits everything that is pending. */
    fun drain() {
        while (log.hasPendingRecords) commit()
    }

    private companion object {
        /** One commit in so many is rejected. */
        const val REJECTION_ODDS = 8
        val SIZES = LogSizes("cleathitch/", "leader/cleathitch")
    }
}
