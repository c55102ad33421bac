package cleathitch.scheduler

import cleathitch.protocol.MessageCodec
import cleathitch.protocol.WorkerProtocol
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tasks so small that thousands of them fit on one machine, as far as its resources go. */
class TinyTasksTest : SchedulerHarness() {
    /** A worker with more tasks sent heartbeats of over 64 KiB, which every controller refuses: its lease ended, with all its tasks. */
    @Test
    fun `a machine gets only as many tasks as its heartbeats and the commands to it have room for`() {
        becomeLeaderWithFleet(machines = 1)
        val machine = FakeMachine(heartbeat(0))
        step(Input.Submit(request(), SimulatedCluster.jobSpec(1, tasks = 20_000).copy(cpus = 0.0001, memoryGb = 0.0001)))
        val effects = ArrayList<Effect>()
        repeat(100) {
            val round = runRounds(1) + if (it % roundsPerHeartbeat == 0) sendHeartbeat(machine.heartbeat()) else emptyList()
            round.directCalls().forEach(machine::receive)
            round.heartbeatAnswers().forEach(machine::receive)
            if (it == 50) machine.completeTasks()
            effects += round
            assertTrue(machine.attempts.size <= MAX_TASKS) { "${machine.attempts.size} tasks on one machine" }
        }
        assertTrue(effects.startedAttempts().toSet().size > MAX_TASKS, "tasks are started when others have ended")
        val bodies = effects.directCalls().map { WorkerProtocol.directCommands(it.token, it.incarnation, it.commands) } +
            effects.heartbeatAnswers().map { WorkerProtocol.heartbeatResponse(it.token, it.commands) }
        assertEquals(emptyList<Int>(), bodies.map { MessageCodec.jsonBytes(MessageCodec.decodeMap(it)) }.filter { it > MAX_BODY_BYTES })
    }

    private companion object {
        const val MAX_TASKS = 500
        const val MAX_BODY_BYTES = 65_536
    }
}
