package cleathitch.scheduler.capacity

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.machines.Inventory
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.PlacementClass
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.placement.ZoneAllowance
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Rental planning. Two of the requested tasks fit on a machine of the only machine type. */
class CapacityPlannerTest {
    private val deployment = Deployment(
        zones = listOf("a", "b"), teams = emptyMap(), objectives = emptyList(),
        heartbeatPeriodS = 3.0, workerLeaseS = 34.0, cancellationDeadlineS = 64.0,
        storeRequestsPerS = 100.0, storeWritesPerS = 40.0, maxStoredValueBytes = 16_384, maxTransactionOps = 32,
        cloudCallsPerS = 4.0, machineListLagS = 4.0, controllerCount = 3,
    )
    private val type = MachineType("m4", 4.0, 0.0, 16.0, 50.0, 1.0, price = 1.0, spotPrice = 0.4, bootS = 5.0, zones = listOf("a", "b"))
    private val inventory = Inventory(deployment).also { it.updateTypes(listOf(type)) }
    private val planner = CapacityPlanner(deployment, inventory)

    private fun demand(
        tasks: Int,
        urgentTasks: Int = tasks,
        spotAllowed: Boolean = false,
        spread: Boolean = false,
        slackS: Double = 0.0,
        runS: Double = 0.0,
        allowance: ZoneAllowance = ZoneAllowance(if (spread) mapOf("a" to tasks, "b" to tasks) else null),
    ) = MachineDemand(
        PlacementClass(
            team = "red", kind = JobKind.ARRAY, priority = Priority.NORMAL, cpus = 2.0, gpus = 0.0, memoryGb = 2.0,
            image = "image", allowedTypes = null, zone = null, oneZone = false, spread = spread, spotAllowed = spotAllowed,
        ),
        tasks,
        urgentTasks,
        slackS,
        runS,
        allowance,
    )

    private fun plan(vararg demands: MachineDemand, nowMs: Long = 0, maxCalls: Int = 10) = planner.plan(demands.toList(), nowMs, maxCalls)

    private fun offer(zone: String, spot: Boolean = false) = Offer("m4", zone, spot)

    @Test
    fun `tasks share machines, and use spot machines if allowed`() {
        assertEquals(listOf(PlannedRental(offer("a"), 3)), plan(demand(6)))
        assertEquals(listOf(PlannedRental(offer("a", spot = true), 3)), plan(demand(6, spotAllowed = true)))
    }

    @Test
    fun `tasks with slack run one after another on fewer machines`() {
        assertEquals(listOf(PlannedRental(offer("a"), 1)), plan(demand(6, slackS = 35.0, runS = 10.0)))
    }

    @Test
    fun `the capacity of booting machines and unanswered rentals is used before more machines are rented`() {
        inventory.register(MachineId("m-1"), offer("b"), 0)
        assertEquals(listOf(PlannedRental(offer("a"), 2)), plan(demand(6)))
        inventory.apply(Event.RentalRequested("r-1", offer("a"), 2))
        assertEquals(emptyList<PlannedRental>(), plan(demand(6)))
    }

    @Test
    fun `a spread demand is split across the zones`() {
        assertEquals(listOf(PlannedRental(offer("a"), 1), PlannedRental(offer("b"), 1)), plan(demand(4, spread = true)))
    }

    /** The shares are (tasks, refused zones, zones that may take how many tasks each) to the tasks rented for by zone. */
    @Test
    fun `shares go only to zones that may take the tasks and have offers, and are even where possible`() {
        val both = mapOf("a" to 4, "b" to 4)
        assertRentedFor(mapOf("a" to 2, "b" to 2), 4, both)
        assertRentedFor(mapOf("a" to 1, "b" to 3), 4, mapOf("a" to 1, "b" to 3))
        assertRentedFor(mapOf("b" to 4), 4, both, refused = "a")
        assertRentedFor(mapOf("b" to 2), 4, mapOf("a" to 4, "b" to 2), refused = "a")
        assertRentedFor(mapOf("b" to 1), 1, mapOf("b" to 1))
        assertRentedFor(emptyMap(), 1, emptyMap())
        assertRentedFor(mapOf("a" to 4), 4, both, needsSingleZone = true)
        assertRentedFor(mapOf("b" to 4), 4, both, needsSingleZone = true, refused = "a")
    }

    private fun assertRentedFor(
        expected: Map<String, Int>,
        tasks: Int,
        allowance: Map<String, Int>,
        needsSingleZone: Boolean = false,
        refused: String? = null,
    ) {
        val inventory = Inventory(deployment).also { it.updateTypes(listOf(type.copy(cpus = 2.0))) }
        if (refused != null) inventory.recordRefusal(offer(refused), nowMs = 0)
        val demand = demand(tasks, allowance = ZoneAllowance(allowance, needsSingleZone))
        val rentals = CapacityPlanner(deployment, inventory).plan(listOf(demand), nowMs = 0, maxCalls = 10)
        assertEquals(expected, rentals.associate { it.offer.zone to it.machines })
    }

    /** Otherwise a machine would be rented for the task in each zone in turn, whenever a refusal ends. */
    @Test
    fun `a task that pending capacity can take isn't rented for in a zone that is on offer again`() {
        inventory.register(MachineId("m-1"), offer("b"), 0)
        assertEquals(emptyList<PlannedRental>(), plan(demand(1, spread = true)))
    }

    @Test
    fun `partitioned zones and recently refused offers aren't rented`() {
        inventory.recordRefusal(offer("a"), nowMs = 0)
        assertEquals(listOf(PlannedRental(offer("b"), 1)), plan(demand(2), nowMs = 8_999))
        assertEquals(listOf(PlannedRental(offer("a"), 1)), plan(demand(2), nowMs = 9_000))
        inventory.updatePartitionedZones(setOf("a", "b"))
        assertEquals(emptyList<PlannedRental>(), plan(demand(2), nowMs = 9_000))
    }

    @Test
    fun `if spot machines are refused, on-demand ones are rented only for urgent tasks`() {
        inventory.recordRefusal(offer("a", spot = true), nowMs = 0)
        inventory.recordRefusal(offer("b", spot = true), nowMs = 0)
        assertEquals(emptyList<PlannedRental>(), plan(demand(4, urgentTasks = 0, spotAllowed = true)))
        assertEquals(listOf(PlannedRental(offer("a"), 1)), plan(demand(4, urgentTasks = 2, spotAllowed = true)))
    }

    @Test
    fun `a call rents at most fifty machines, and the number of calls is limited`() {
        val calls = listOf(PlannedRental(offer("a"), 50), PlannedRental(offer("a"), 10))
        assertEquals(calls, plan(demand(120)))
        assertEquals(calls.take(1), plan(demand(120), maxCalls = 1))
    }
}
