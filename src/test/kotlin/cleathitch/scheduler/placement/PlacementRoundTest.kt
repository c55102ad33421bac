package cleathitch.scheduler.placement

import cleathitch.scheduler.jobs.Job
import cleathitch.scheduler.jobs.JobTable
import cleathitch.scheduler.jobs.StopCause
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.machines.Machine
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.model.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Placement and preemption in one round. Two tasks of the default size fit on a machine. */
class PlacementRoundTest {
    private val deployment = Deployment(
        zones = listOf("a", "b"), teams = emptyMap(), objectives = emptyList(),
        heartbeatPeriodS = 3.0, workerLeaseS = 34.0, cancellationDeadlineS = 64.0,
        storeRequestsPerS = 100.0, storeWritesPerS = 40.0, maxStoredValueBytes = 16_384, maxTransactionOps = 32,
        cloudCallsPerS = 4.0, machineListLagS = 4.0, controllerCount = 3,
    )
    private val type = MachineType("m4", 4.0, 0.0, 16.0, 50.0, 1.0, 1.0, 0.4, 5.0, deployment.zones)
    private val jobTable = JobTable()
    private val inventory = Inventory(deployment).also { it.updateTypes(listOf(type)) }
    private var lastRecord = LogIndex.NONE

    private fun machine(name: String, zone: String = "a"): Machine = inventory.register(MachineId(name), Offer("m4", zone, spot = false), 0)

    private fun spec(
        name: String,
        kind: JobKind = JobKind.ARRAY,
        priority: Priority = Priority.NORMAL,
        tasks: Int = 10,
        cpus: Double = 2.0,
        oneZone: Boolean = false,
        spread: Boolean = false,
        image: String = "image",
        team: String = "red",
        gpus: Double = 0.0,
    ) = JobSpec(
        id = JobId(name), className = "class", team = team, kind = kind, priority = priority, tasks = tasks,
        cpus = cpus, gpus = gpus, memoryGb = 2.0, image = image, imageGb = 1.0, oneZone = oneZone, spread = spread,
    )

    private fun accept(spec: JobSpec) = run {
        record(Event.JobAccepted(spec, 0))
        checkNotNull(jobTable.job(spec.id))
    }

    private fun start(job: String, index: Int, machine: Machine) = record(Event.AttemptStarted(JobId(job), index, index + 1L, machine.id))

    private fun record(event: Event.JobEvent) {
        lastRecord = lastRecord.next()
        jobTable.apply(event, lastRecord)
    }

    private fun allowance(job: Job) = ZoneAllowance.of(job, inventory)

    private fun gangMachines(job: Job, round: PlacementRound = round()) = round.chooseGangMachines(job, allowance(job))

    private fun round() = PlacementRound(jobTable, inventory.machines.values.toList(), nowMs = 0)

    @Test
    fun `machines that cache the image are filled first, then others, and no machine is chosen once all are full`() {
        machine("m-1")
        machine("m-2").recordImage("image", 1.0)
        val job = accept(spec("j-1"))
        val round = round()
        assertEquals(listOf("m-2", "m-2", "m-1", "m-1", null), List(5) { round.chooseMachine(job, allowance(job))?.id?.text })
    }

    @Test
    fun `each machine is evaluated once per placement class, independent of the number of tasks`() {
        repeat(5) { machine("m-$it") }
        val job = accept(spec("j-1"))
        val round = round()
        repeat(10) { round.chooseMachine(job, allowance(job)) }
        assertEquals(5L, round.candidatesEvaluated)
    }

    @Test
    fun `a gang gets machines for all of its tasks or none`() {
        machine("m-1", zone = "a")
        machine("m-2", zone = "b")
        assertNull(gangMachines(accept(spec("j-1", JobKind.GANG, tasks = 5))))
        assertNull(gangMachines(accept(spec("j-2", JobKind.GANG, tasks = 4, oneZone = true))))
        val round = round()
        assertEquals(
            listOf("m-1", "m-1", "m-2", "m-2"),
            gangMachines(accept(spec("j-3", JobKind.GANG, tasks = 4)), round)?.map { it.id.text },
        )
        assertNull(round.chooseMachine(accept(spec("j-4")), ZoneAllowance(null)))
    }

    @Test
    fun `attempts that may still be running count towards a spread job's limit in their zone`() {
        val inA = machine("m-1", zone = "a")
        machine("m-2", zone = "b")
        val job = accept(spec("j-1", tasks = 2, cpus = 1.0, spread = true))
        start("j-1", 0, inA)
        assertEquals("m-2", round().chooseMachine(job, allowance(job))?.id?.text)
    }

    @Test
    fun `preemption stops only tasks of lower priority, and none if tasks already being stopped free enough resources`() {
        val machine = machine("m-1")
        val low = accept(spec("j-1", priority = Priority.LOW))
        val equal = accept(spec("j-2", priority = Priority.PRODUCTION))
        start("j-1", 0, machine)
        start("j-2", 0, machine)
        val urgent = accept(spec("j-3", priority = Priority.PRODUCTION))

        val plan = round().planPreemption(urgent, allowance(urgent), maxTasks = 2)
        assertEquals(low.liveAttempts.values.toList(), plan.victims)
        assertEquals(1, plan.tasks)
        assertEquals(null, equal.liveAttempts.getValue(0).stopCause)

        plan.victims.forEach { it.requestStop(StopCause.PREEMPTED) }
        val next = round().planPreemption(urgent, allowance(urgent), maxTasks = 2)
        assertEquals(emptyList<Any>(), next.victims)
        assertEquals(1, next.tasks)
    }

    /** The teams have a guarantee of 4 CPUs and 1 GPU; a task that also uses a guaranteed GPU isn't borrowed. */
    @Test
    fun `a guarantee is reclaimed from other teams' work of any priority, but only as far as it is beyond their own guarantee`() {
        val teams = listOf("red", "blue").associateWith { Team(it, 4.0, null, 1.0, null) }
        val gpuJob = accept(spec("j-1", team = "blue", gpus = 1.0, cpus = 1.0))
        val borrower = accept(spec("j-2", team = "blue", priority = Priority.PRODUCTION))
        start("j-1", 0, machine("m-0"))
        repeat(3) { start("j-2", it, machine("m-${it / 2 + 1}")) }
        start("j-3".also { accept(spec(it, cpus = 2.0)) }, 0, inventory.machines.getValue(MachineId("m-2")))
        start("j-3", 1, inventory.machines.getValue(MachineId("m-0")))
        val guaranteed = accept(spec("j-4", priority = Priority.LOW))
        val round = PlacementRound(
            jobTable,
            inventory.machines.values.toList(),
            nowMs = 0,
            borrowedCapacity = BorrowedCapacity(teams, jobTable),
        )

        assertEquals(emptyList<Any>(), round.planPreemption(guaranteed, allowance(guaranteed), maxTasks = 3).victims)
        val victims = round.planPreemption(guaranteed, allowance(guaranteed), maxTasks = 3, reclaims = true).victims
        assertEquals(listOf(borrower.id), victims.map { it.job.id })
        assertEquals(emptyList<Any>(), victims.filter { it.job == gpuJob })
        assertEquals(0, round.planPreemption(guaranteed, allowance(guaranteed), maxTasks = 1, reclaims = true).tasks)
    }

    @Test
    fun `a production job preempts its own team's work, and other teams' only as far as it is beyond their guarantee`() {
        val teams = mapOf("red" to Team("red", 0.0, null, 0.0, null), "blue" to Team("blue", 2.0, null, 0.0, null))
        accept(spec("j-1", team = "blue"))
        repeat(2) { start("j-1", it, machine("m-1")) }
        val urgent = accept(spec("j-2", priority = Priority.PRODUCTION))

        fun plan() = PlacementRound(jobTable, inventory.machines.values.toList(), 0, borrowedCapacity = BorrowedCapacity(teams, jobTable))
            .planPreemption(urgent, allowance(urgent), maxTasks = 2)
        assertEquals(listOf("j-1"), plan().victims.map { it.job.id.text })

        accept(spec("j-3"))
        repeat(2) { start("j-3", it, machine("m-2")) }
        assertEquals(mapOf("j-3" to 1, "j-1" to 1), plan().victims.groupingBy { it.job.id.text }.eachCount())
    }
}
