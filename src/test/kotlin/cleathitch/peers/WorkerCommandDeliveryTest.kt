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

/** How commands reach workers, and which answers count. */
class WorkerCommandDeliveryTest {
    private val posted = ArrayList<Input>()
    private var nowMs = 0L

    /** What went to each follower, and to workers directly. */
    private val throughFollowers = ArrayList<Pair<String, List<DeliveryMessage>>>()
    private val direct = ArrayList<MachineId>()
    private var followersTakeCommands = true
    private var workersAnswer = true

    private val routes = object : WorkerCommandRoutes {
        override fun reachableFollowers() = listOf("n1", "n2")
        override fun followerOf(machine: MachineId) = when (machine.text) {
            "vm-1", "vm-2" -> "n1"
            "vm-3" -> "n2"
            "vm-4" -> "unreachable"
            else -> null
        }

        override suspend fun toFollower(follower: String, commands: List<DeliveryMessage>): Boolean {
            throughFollowers += follower to commands
            return followersTakeCommands
        }

        override suspend fun toWorker(command: Effect.ToWorker): ServiceResult<Heartbeat> {
            direct += command.machine
            if (!workersAnswer) return ServiceResult.Failure(ServiceError.NoAnswer(CallFailure.NO_ANSWER_IN_TIME))
            return ServiceResult.Success(heartbeat(command.machine))
        }
    }
    private val delivery = WorkerCommandDelivery(routes, resultTimeoutMs = 6000, { nowMs }, { posted += it })

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
    fun `commands go through the followers to which the workers report, in one request each`() {
        deliver(commandTo(1), commandTo(2), commandTo(3))
        assertEquals(mapOf("n1" to 2, "n2" to 1), throughFollowers.associate { it.first to it.second.size })
        assertEquals(emptyList<MachineId>(), direct)
    }

    @Test
    fun `commands go directly where no reachable follower is known`() {
        deliver(commandTo(4), commandTo(5))
        assertEquals(setOf("vm-4", "vm-5"), direct.map { it.text }.toSet())
        assertEquals(2, posted.count { it is Input.ProbeAnswered })
    }

    @Test
    fun `commands that a follower doesn't take go directly`() {
        followersTakeCommands = false
        deliver(commandTo(1), commandTo(2))
        assertEquals(listOf("vm-1", "vm-2"), direct.map { it.text })
    }

    @Test
    fun `a worker that gives no answer is reported as unanswered`() {
        workersAnswer = false
        deliver(commandTo(5))
        assertEquals(listOf<Input>(Input.DirectCallUnanswered(MachineId("vm-5"))), posted)
    }

    @Test
    fun `an answer through a follower counts once, and only from the machine that was asked`() {
        deliver(commandTo(1), commandTo(3))
        val (first, second) = throughFollowers.flatMap { it.second }.map { it.id }
        delivery.onDeliveryResults(listOf(result(first, machine = 1), result(first, machine = 1), result(second, machine = 1)))
        assertEquals(listOf<Input>(Input.ProbeAnswered(heartbeat(MachineId("vm-1")))), posted)
    }

    /** By then the machine may be gone: a batch that was held up on its way shows nothing about it. */
    @Test
    fun `an answer that comes late doesn't count`() {
        deliver(commandTo(1))
        val id = throughFollowers.single().second.single().id
        nowMs = 6000
        delivery.onDeliveryResults(listOf(result(id, machine = 1)))
        assertEquals(emptyList<Input>(), posted)
    }

    /** A machine whose heartbeats are overdue may have lost its follower: it is probed on more than one route. */
    @Test
    fun `probes take turns between the followers and this node`() {
        repeat(3) { deliver(Effect.Probe(MachineId("vm-1"), "10.0.0.1:9000")) }
        assertEquals(setOf("n1", "n2"), throughFollowers.map { it.first }.toSet())
        assertEquals(1, direct.size)
        assertTrue(throughFollowers.all { (_, commands) -> commands.single().toCommand() is Effect.Probe })
    }
}
