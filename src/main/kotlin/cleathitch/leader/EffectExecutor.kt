package cleathitch.leader

import cleathitch.cloud.CloudClient
import cleathitch.election.LeaderLease
import cleathitch.peers.WorkerCommandDelivery
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId
import cleathitch.storage.CommitResult
import cleathitch.storage.LogStorage
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Executes the scheduler's effects and returns their results to it as inputs through [enqueue]. Runs on the event loop; the
 * coroutines that it launches belong to [scope] and are cancelled at the end of the term. [monotonicMs] is the monotonic clock.
 */
// Most parameters serve one kind of effect each; a class that groups them would have no meaning of its own.
@Suppress("LongParameterList")
internal class EffectExecutor(
    private val scope: CoroutineScope,
    private val lease: LeaderLease,
    private val storage: LogStorage,
    private val cloud: CloudClient,
    private val delivery: WorkerCommandDelivery,
    private val requests: TermRequests,
    private val monotonicMs: () -> Long,
    private val enqueue: (Input) -> Unit,
    private val shareImageCacheHints: (Map<MachineId, ImageCache>) -> Unit,
    private val stepDown: (Effect.StepDown) -> Unit,
) {
    /** Executes the effects of one batch in order, then delivers its worker commands together. */
    fun execute(effects: List<Effect>) {
        effects.forEach(::execute)
        delivery.deliver(scope, effects.filterIsInstance<Effect.ToWorker>())
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.Answer -> requests.userRequests.answer(effect.request, if (isLeaseValid()) effect.reply else NO_LEASE)
            is Effect.AnswerHeartbeat -> requests.heartbeats.answer(effect.request, effect)
            is Effect.RefuseHeartbeat -> requests.heartbeats.completeUnanswered(effect.request, UnansweredReason.REFUSED)
            is Effect.AnswerFollower -> requests.followerBatches.answer(effect.request, withValidStatuses(effect))
            is Effect.Write -> commit(effect)
            // Delivered together with the other worker commands of the batch.
            is Effect.ToWorker -> Unit
            is Effect.Rent -> rent(effect)
            is Effect.TerminateMachines -> terminate(effect)
            is Effect.ShareImageCacheHints -> shareImageCacheHints(effect.images)
            is Effect.StepDown -> stepDown(effect)
            is Effect.Log -> writeLog(effect)
        }
    }

    /**
     * Whether a reply to a user may be sent. The process may have been paused for longer than the lease since the scheduler decided
     * on the reply. Another controller may then be the leader, and the reply could contradict the replies of that leader.
     */
    private fun isLeaseValid() = monotonicMs() < lease.validUntilMs

    private fun withValidStatuses(answer: Effect.AnswerFollower): Effect.AnswerFollower =
        if (isLeaseValid()) answer else answer.copy(statuses = answer.statuses.map { NO_LEASE })

    private fun commit(effect: Effect.Write) = scope.launch {
        when (val result = storage.commit(effect.commit)) {
            is CommitResult.Committed -> enqueue(Input.CommitSucceeded(effect.commit.index, result.revision))
            is CommitResult.Rejected -> enqueue(Input.CommitRejected(effect.commit.index, result.size))
            is CommitResult.Undecided -> stepDown(Effect.StepDown("commit_undecided: rejected with ${result.size}, but may be applied"))
            is CommitResult.Refused -> stepDown(Effect.StepDown("compare_and_swap_refused: ${result.failedKeys} changed"))
        }
    }

    private fun rent(effect: Effect.Rent) = scope.launch {
        val answer = cloud.rent(effect.rental)
        enqueue(Input.RentalCompleted(effect.rental.request, answer))
    }

    private fun terminate(effect: Effect.TerminateMachines) = scope.launch {
        if (cloud.terminate(effect.machines)) enqueue(Input.MachinesTerminated(effect.machines))
    }

    private fun writeLog(effect: Effect.Log) = when (effect.level) {
        LogLevel.ERROR -> log.error("term={} {}", lease.term.revision, effect.text)
        LogLevel.INFO -> log.info("term={} {}", lease.term.revision, effect.text)
        LogLevel.DEBUG -> log.debug("term={} {}", lease.term.revision, effect.text)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.leader")
        val NO_LEASE = UserReply.Unavailable("the leader does not hold a valid lease")
    }
}
