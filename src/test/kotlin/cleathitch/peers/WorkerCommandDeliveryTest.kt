package cleathitch.peers

import cleathitch.http.CallFailure
import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.WorkerCommand
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The routes that commands take to workers, and the answers that are accepted. */
class WorkerCommandDeliveryTest {
    private val enqueued = ArrayList<Input>()
    private var nowMs = 0L

    /** The messages sent to each follower, and the machines called directly. */
    private val sentToFollowers = ArrayList<Pair<String, List<DeliveryMessage>>>()
    private val sentDirectly = ArrayList<MachineId>()
    private var followersAcceptCommands = true
    private var workersAnswer = true

    private val routes = object : WorkerCommandRoutes {
        override fun reachableFollowers() = listOf("n1", "n2")
        override fun followerOf(machine: MachineId) = when (machine.text) {
            "vm-1", "vm-2" -> "n1"
            "vm-3" -> "n2"
            "vm-4" -> "unreachable"
            else -> null
        }

        override suspend fun sendToFollower(follower: String, commands: List<DeliveryMessage>): Boolean {
            sentToFollowers += follower to commands
            return followersAcceptCommands
        }

        override suspend fun sendToWorker(command: Effect.ToWorker): ServiceResult<Heartbeat> {
            sentDirectly += command.machine
            if (!workersAnswer) return ServiceResult.Failure(ServiceError.NoResponse(CallFailure.NO_ANSWER_IN_TIME))
            return ServiceResult.Success(heartbeat(command.machine))
        }
    }
    private val delivery = WorkerCommandDelivery(routes, resultTimeoutMs = 6000, { nowMs }, { enqueued += it })

    private fun heartbeat(machine: MachineId) =
        Heartbeat(machine, "10.0.0.1:9000", "m4", "a", false, 1, 7, FencingToken.first(9), null, emptyList())

    private fun commandTo(machine: Int) = Effect.SendCommands(
        MachineId("vm-$machine"),
        "10.0.0.1:9000",
        1,
        FencingToken.first(9),
        listOf(WorkerCommand.Start(AttemptId(TaskId(JobId("j-1"), 0), 1))),
    )

    private fun deliver(vararg commands: Effect.ToWorker) = runBlocking { delivery.deliver(this, commands.toList()) }

    private fun result(id: Long, machine: Int) = DeliveryResultMessage(id, FullHeartbeatMessage.of(heartbeat(MachineId("vm-$machine"))))

    @Test
    fun `commands go through the followers that forward the workers' heartbeats, in one request per follower`() {
        deliver(commandTo(1), commandTo(2), commandTo(3))
        assertEquals(mapOf("n1" to 2, "n2" to 1), sentToFollowers.associate { it.first to it.second.size })
        assertEquals(emptyList<MachineId>(), sentDirectly)
    }

    @Test
    fun `commands go directly to workers without a reachable follower`() {
        deliver(commandTo(4), commandTo(5))
        assertEquals(setOf("vm-4", "vm-5"), sentDirectly.map { it.text }.toSet())
        assertEquals(2, enqueued.count { it is Input.ProbeAnswered })
    }

    @Test
    fun `commands that a follower doesn't accept go directly to the workers`() {
        followersAcceptCommands = false
        deliver(commandTo(1), commandTo(2))
        assertEquals(listOf("vm-1", "vm-2"), sentDirectly.map { it.text })
    }

    @Test
    fun `a direct call without an answer is reported as unanswered`() {
        workersAnswer = false
        deliver(commandTo(5))
        assertEquals(listOf<Input>(Input.DirectCallUnanswered(MachineId("vm-5"))), enqueued)
    }

    @Test
    fun `an answer through a follower is accepted once, and only from the machine that was called`() {
        deliver(commandTo(1), commandTo(3))
        val (first, second) = sentToFollowers.flatMap { it.second }.map { it.id }
        delivery.onDeliveryResults(listOf(result(first, machine = 1), result(first, machine = 1), result(second, machine = 1)))
        assertEquals(listOf<Input>(Input.ProbeAnswered(heartbeat(MachineId("vm-1")))), enqueued)
    }

    /** An answer that arrives late in a follower's batch doesn't show that the machine is still alive. */
    @Test
    fun `an answer after the timeout is ignored`() {
        deliver(commandTo(1))
        val id = sentToFollowers.single().second.single().id
        nowMs = 6000
        delivery.onDeliveryResults(listOf(result(id, machine = 1)))
        assertEquals(emptyList<Input>(), enqueued)
    }

    /** A machine whose heartbeats are overdue may have lost the connection to its follower, so probes don't all take the same route. */
    @Test
    fun `probes rotate among the followers and the direct route`() {
        repeat(3) { deliver(Effect.Probe(MachineId("vm-1"), "10.0.0.1:9000")) }
        assertEquals(setOf("n1", "n2"), sentToFollowers.map { it.first }.toSet())
        assertEquals(1, sentDirectly.size)
        assertTrue(sentToFollowers.all { (_, commands) -> commands.single().toCommand() is Effect.Probe })
    }
}
