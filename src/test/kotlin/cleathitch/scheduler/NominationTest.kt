package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.WaitReason
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The room that is made for an urgent job: two tasks run on the only machine, and the urgent job needs one of them to end. */
class NominationTest : SchedulerHarness() {
    private val machine by lazy { FakeMachine(heartbeat(0)) }
    private val trace = ArrayList<String>()

    /** Runs [seconds] seconds; the machine executes all commands but stops. */
    private fun run(seconds: Double) {
        val untilMs = nowMs + (seconds * 1000).toLong()
        while (nowMs < untilMs) {
            val effects = runRounds(1) + sendHeartbeat(machine.heartbeat())
            effects.forEach(::execute)
        }
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.SendCommands -> machine.receive(effect.copy(commands = effect.commands.withoutStops()))
            is Effect.AnswerHeartbeat -> machine.receive(effect.copy(commands = effect.commands.withoutStops()))
            is Effect.Log -> trace += effect.text
            else -> Unit
        }
    }

    private fun List<WorkerCommand>.withoutStops() = filter { it !is WorkerCommand.Stop }

    private fun preempt() {
        becomeLeaderWithFleet(machines = 1)
        submitJobs(1, tasks = 2)
        run(seconds = 5.0)
        assertEquals(2, machine.attempts.size)
        val urgent = SimulatedCluster.jobSpec(90, tasks = 1).copy(priority = Priority.PRODUCTION, cpus = 2.0)
        step(Input.Submit(request(), urgent))
        run(seconds = 1.0)
        assertEquals(1, preemptions().size)
    }

    private fun preemptions() = trace.filter { "event=attempt_preempted" in it }

    @Test
    fun `a waiting job's reason is logged and counted`() {
        preempt()

        assertTrue(trace.any { "event=job_waiting job=j-000090 reason=room_being_made" in it }) { trace.joinToString("\n") }
        assertEquals(mapOf(WaitReason.ROOM_BEING_MADE to 1), scheduler.placementStatistics.waitingJobs)
        assertEquals(1, scheduler.placementStatistics.preemptions)
    }

    /** Otherwise a task that doesn't end would hold the rest of the machine for ever. */
    @Test
    fun `room that isn't free in time is given up, and the machine isn't nominated again at once`() {
        preempt()

        run(seconds = timings.silentAfterMs / 1000.0)

        assertEquals(1, droppedBecause("expired"))
        assertEquals(1, preemptions().size)
        assertEquals(1, scheduler.placementStatistics.wastedPreemptions)
    }

    @Test
    fun `room is given up if the machine is to be reclaimed or the job is cancelled`() {
        preempt()
        sendHeartbeat(machine.heartbeat().copy(preemptionNoticeS = 30.0))
        runRounds(2).forEach(::execute)
        assertEquals(1, droppedBecause("machine_unusable"))

        run(seconds = 2.0)
        step(Input.Cancel(request(), JobId("j-000090")))
        run(seconds = 2.0)

        assertEquals(1, droppedBecause("not_needed"))
    }

    private fun droppedBecause(reason: String) = trace.count { "event=nomination_dropped job=j-000090" in it && "reason=$reason" in it }

    @Test
    fun `after a failover room is made again, and the job starts`() {
        preempt()
        val victim = machine.attempts.first { "attempt=$it " in preemptions().single() }
        failOver()

        run(seconds = 5.0)
        machine.exit(victim, ExitReason.STOPPED)
        run(seconds = 3.0)

        assertTrue(machine.attempts.any { it.task.job.text == "j-000090" }) { trace.joinToString("\n") }
    }
}
