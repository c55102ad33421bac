package cleathitch.scheduler

import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.WorkerCommand

fun List<Effect>.directCalls() = filterIsInstance<Effect.SendCommands>()

fun List<Effect>.directStarts() = directCalls().flatMap { call ->
    call.commands.filterIsInstance<WorkerCommand.Start>().map { DirectStart(call.machine, it.attempt) }
}

fun List<Effect>.heartbeatAnswers() = filterIsInstance<Effect.AnswerHeartbeat>()

/** All commands to workers, both in direct calls and in answers to heartbeats. */
fun List<Effect>.workerCommands() = directCalls().flatMap { it.commands } + heartbeatAnswers().flatMap { it.commands }

fun List<Effect>.startedAttempts(): List<AttemptId> = workerCommands().filterIsInstance<WorkerCommand.Start>().map { it.attempt }

fun List<Effect>.stoppedAttempts(): List<AttemptId> = workerCommands().filterIsInstance<WorkerCommand.Stop>().map { it.attempt }

fun List<Effect>.probedMachines(): List<MachineId> = filterIsInstance<Effect.Probe>().map { it.machine }

fun List<Effect>.terminatedMachines(): Set<MachineId> = filterIsInstance<Effect.TerminateMachines>().flatMapTo(HashSet()) { it.machines }

fun List<Effect>.stepDowns() = filterIsInstance<Effect.StepDown>()

fun List<Effect>.commits() = filterIsInstance<Effect.Write>().map { it.commit }

fun List<Effect>.userAnswers() = filterIsInstance<Effect.Answer>()

fun List<Effect>.userReplies(): List<UserReply> = userAnswers().map { it.reply }

fun List<Effect>.followerAnswers() = filterIsInstance<Effect.AnswerFollower>()
