package cleathitch.scheduler

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The cost of rounds with a full fleet of 4,000 machines, 100,000 tasks on it, and urgent jobs for which room has to be made. Times are
 * only printed; to see them, run `mvn -Dtest=RoundCostTest test`.
 */
class RoundCostTest : SchedulerHarness() {
    private val machines by lazy { List(MACHINES) { FakeMachine(heartbeat(it)) } }
    private val machinesById by lazy { machines.associateBy { it.id } }

    /** If the cost grew with the number of jobs of a class, a leader on a small share of a core would fall behind. */
    @Test
    fun `urgent jobs on a full fleet cost a bounded number of evaluations per class`() {
        fillFleet()
        repeat(URGENT_JOBS) { submitUrgent(it) }
        val durationsMs = ArrayList<Double>()
        val evaluatedBefore = scheduler.candidatesEvaluated
        repeat(ROUNDS) { round ->
            val startNs = System.nanoTime()
            val effects = runRounds(1)
            durationsMs += (System.nanoTime() - startNs) / 1e6
            effects.directCalls().forEach { machinesById.getValue(it.machine).receive(it) }
            if (round % roundsPerHeartbeat == 0) sendHeartbeats()
        }
        val evaluated = scheduler.candidatesEvaluated - evaluatedBefore
        println(
            "$MACHINES machines, $TASKS tasks, $URGENT_JOBS urgent jobs of $CLASSES classes: $evaluated evaluations in $ROUNDS rounds, " +
                "longest %.1f ms, mean %.1f ms".format(durationsMs.max(), durationsMs.average()),
        )
        assertTrue(evaluated <= ROUNDS.toLong() * MACHINES * (CLASSES + CLASSES_OF_RUNNING_TASKS) * EVALUATIONS_PER_CLASS)
    }

    private fun fillFleet() {
        becomeLeaderWithFleet(MACHINES)
        repeat(JOBS) { job ->
            val spec = SimulatedCluster.jobSpec(job, tasks = TASKS / JOBS)
            val small = spec.copy(cpus = CPUS_PER_TASK, memoryGb = CPUS_PER_TASK, image = "img-${job % CLASSES_OF_RUNNING_TASKS}")
            step(Input.Submit(request(), small))
        }
        var rounds = 0
        while (machines.sumOf { it.attempts.size } < TASKS && rounds++ < MAX_ROUNDS) {
            runRounds(1).directCalls().forEach { machinesById.getValue(it.machine).receive(it) }
            if (rounds % roundsPerHeartbeat == 0) sendHeartbeats()
        }
        assertEquals(TASKS, machines.sumOf { it.attempts.size })
    }

    private fun submitUrgent(number: Int) {
        val spec = SimulatedCluster.jobSpec(JOBS + number, JobKind.SERVICE, tasks = 1)
        val urgent = spec.copy(priority = Priority.PRODUCTION, image = "urgent-${number % CLASSES}", spread = number % 2 == 0)
        step(Input.Submit(request(), urgent))
    }

    private fun sendHeartbeats() = machines.forEach { machine ->
        val effects = sendHeartbeat(machine.heartbeat())
        effects.heartbeatAnswers().forEach(machine::receive)
        effects.directCalls().forEach { machinesById.getValue(it.machine).receive(it) }
    }

    private companion object {
        const val MACHINES = 4000
        const val TASKS = 100_000
        const val JOBS = 100
        const val CLASSES_OF_RUNNING_TASKS = 10
        const val CPUS_PER_TASK = 4.0 * MACHINES / TASKS
        const val URGENT_JOBS = 200
        const val CLASSES = 10
        const val ROUNDS = 24
        const val MAX_ROUNDS = 1000

        /** One to place tasks, and one each to make room by priority and within the guarantee. */
        const val EVALUATIONS_PER_CLASS = 3
    }
}
