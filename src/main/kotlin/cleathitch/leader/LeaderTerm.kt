package cleathitch.leader

import cleathitch.election.LeaderLease
import cleathitch.metrics.ProcessingStage
import cleathitch.peers.DeliveryResultMessage
import cleathitch.peers.WorkerCommandDelivery
import cleathitch.scheduler.Scheduler
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.ForwardedHeartbeat
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.RequestId
import cleathitch.storage.CommitResult
import cleathitch.storage.LogCodec
import cleathitch.storage.LogStorage
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import org.slf4j.LoggerFactory

/**
 * One term as leader: the engine, its queue of commands, and the coroutines that carry out what it
 * wants done. Only [run] touches the engine.
 */
class LeaderTerm(
    val lease: LeaderLease,
    private val services: LeaderDependencies,
    private val store: LogStorage,
    private val knownTypes: List<MachineType>,
    private val imageCacheHints: Map<MachineId, ImageCache>,
    newDelivery: ((Input) -> Unit) -> WorkerCommandDelivery,
    private val shareImageCacheHints: (Map<MachineId, ImageCache>) -> Unit,
    private val stepDown: (Effect.StepDown) -> Unit,
) {
    private val queue = InputQueue(services.maxRequests)
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val delivery = newDelivery(::post)
    private class Asked<T>(val sinceMs: Long) {
        val answer = CompletableDeferred<T?>()
    }

    /** Open requests, the oldest first; the tick ends those that are too old, as a timer for each cost a tenth of a report's work. */
    private val users = LinkedHashMap<RequestId, Asked<UserReply>>()
    private val reports = LinkedHashMap<RequestId, Asked<Effect.AnswerHeartbeat>>()
    private val batches = LinkedHashMap<RequestId, Asked<Effect.AnswerFollower>>()
    private var requests = 0L
    private var lastBatchMsPerCommand = 0.0

    val term get() = lease.term
    val sinceMs = services.clocks.steadyMs()
    var ready = false
        private set

    /** What this term is at, for the log. */
    val activity get() = if (ready) "leading with ${queue.requests} requests waiting" else "replaying: ${store.activity}"

    suspend fun submit(spec: JobSpec) = askUser { Input.Submit(it, spec) }
    suspend fun poll(job: JobId) = askUser { Input.Poll(it, job) }
    suspend fun abort(job: JobId) = askUser { Input.Cancel(it, job) }

    private suspend fun askUser(command: (RequestId) -> Input): UserReply {
        if (!ready) return UserReply.Unavailable("taking over")
        val request = RequestId(++requests)
        val asked = command(request)
        return ask(users, request, asked, UserReply.Unavailable("too many requests wait", secondsToServeQueue()))
            ?: UserReply.Unavailable("not the leader any more")
    }

    /** Null if the report must not be answered. */
    suspend fun report(report: Heartbeat): Effect.AnswerHeartbeat? {
        if (!ready) return null
        val request = RequestId(++requests)
        return ask(reports, request, Input.HeartbeatReceived(request, report), refusal = null)
    }

    /** Null if nothing can be decided now about the reports and polls that a follower hands on. */
    suspend fun followerBatch(reports: List<ForwardedHeartbeat>, polls: List<JobId>): Effect.AnswerFollower? {
        if (!ready) return null
        val request = RequestId(++requests)
        return ask(batches, request, Input.FollowerBatchReceived(request, reports, polls), refusal = null)
    }

    /** Answers of workers to commands that a follower delivered for this leader. */
    fun directResults(results: List<DeliveryResultMessage>) = delivery.onDeliveryResults(results)

    /** The answer to [command], or [refusal] if too much waits already. */
    private suspend fun <T> ask(open: LinkedHashMap<RequestId, Asked<T>>, request: RequestId, command: Input, refusal: T?): T? {
        if (!queue.offer(command)) return refusal
        val asked = Asked<T>(services.clocks.steadyMs())
        open[request] = asked
        wakeUp.trySend(Unit)
        return try {
            asked.answer.await()
        } finally {
            open.remove(request)
        }
    }

    private fun post(command: Input) {
        queue.offer(command)
        wakeUp.trySend(Unit)
    }

    /** At the pace of the last batch; the honest answer to when there will be room again. */
    private fun secondsToServeQueue(): Int = (queue.requests * lastBatchMsPerCommand / 1000).toInt().coerceIn(1, MAX_RETRY_AFTER_S)

    private fun <T> endOld(open: LinkedHashMap<RequestId, Asked<T>>) {
        val oldestMs = services.clocks.steadyMs() - ANSWER_MS
        open.values.takeWhile { it.sinceMs <= oldestMs }.forEach { it.answer.complete(null) }
    }

    /** Under overload, what its sender has given up on would only delay the rest. */
    private fun isAwaited(command: Input) = when (command) {
        is Input.Submit -> command.request in users
        is Input.Poll -> command.request in users
        is Input.Cancel -> command.request in users
        is Input.HeartbeatReceived -> command.request in reports
        is Input.FollowerBatchReceived -> command.request in batches
        else -> true
    }

    /** Gives every open request its last answer. */
    fun end() {
        ready = false
        users.values.toList().forEach { it.answer.complete(UserReply.Unavailable("not the leader any more")) }
        reports.values.toList().forEach { it.answer.complete(null) }
        batches.values.toList().forEach { it.answer.complete(null) }
    }

    /** Replays what is recorded, says when that is [replayed], and leads until it is cancelled. */
    suspend fun run(replayed: () -> Unit) = coroutineScope {
        val begun = services.clocks.steadyMs()
        val snapshot = store.load()
        val scheduler = Scheduler(
            services.deployment,
            services.timings,
            term,
            snapshot,
            services.clocks.clockReading(),
            LogCodec,
            logLevel = when {
                log.isDebugEnabled -> LogLevel.DEBUG
                log.isInfoEnabled -> LogLevel.INFO
                else -> LogLevel.ERROR
            },
        )
        if (knownTypes.isNotEmpty()) post(Input.MachineTypesListed(knownTypes))
        post(Input.ImageCacheHintsReceived(imageCacheHints))
        ready = true
        replayed()
        log.info(
            "term {}: leading after {} ms of replay; {} jobs open, {} records",
            term.revision,
            services.clocks.steadyMs() - begun,
            scheduler.openJobs,
            snapshot.records.size,
        )
        launch { tick() }
        launch { watchTypes() }
        launch { watchMachines() }
        val batchSizes = services.meters.summary("engine.batch")
        while (true) {
            wakeUp.receive()
            while (!queue.isEmpty) {
                lease.worked(services.clocks.steadyMs())
                post(Input.LeaseRenewed(lease.validUntilMs))
                val batch = queue.nextBatch(::isAwaited)
                batchSizes.record(batch.size.toDouble())
                val effects = handle(scheduler, batch)
                effects.forEach { perform(it) }
                delivery.deliver(this, effects.filterIsInstance<Effect.ToWorker>())
                // Between two batches of a flood everything else on this loop gets its turn.
                yield()
            }
        }
    }

    private fun handle(scheduler: Scheduler, batch: List<Input>): List<Effect> {
        val startNs = System.nanoTime()
        val effects = services.processingTimes.measure(ProcessingStage.SCHEDULER) {
            scheduler.handle(batch, services.clocks.clockReading())
        }
        lastBatchMsPerCommand = (System.nanoTime() - startNs) / 1e6 / batch.size
        return effects
    }

    private fun CoroutineScope.perform(effect: Effect) {
        when (effect) {
            // Decided before a standstill of this process, it must not leave after it: others may lead by now.
            is Effect.Answer -> users[effect.request]?.answer?.complete(
                if (services.clocks.steadyMs() < lease.validUntilMs) effect.reply else UserReply.Unavailable("no lease"),
            )
            is Effect.AnswerHeartbeat -> reports[effect.request]?.answer?.complete(effect)
            is Effect.RefuseHeartbeat -> reports[effect.request]?.answer?.complete(null)
            is Effect.AnswerFollower -> batches[effect.request]?.answer?.complete(checked(effect))
            is Effect.Write -> launch {
                when (val result = store.commit(effect.commit)) {
                    is CommitResult.Done -> post(Input.CommitSucceeded(effect.commit.seq, result.revision))
                    is CommitResult.Refused -> stepDown(Effect.StepDown("a transaction was refused: ${result.failedKeys} changed"))
                }
            }
            // Sent together with the others of its batch.
            is Effect.ToWorker -> Unit
            is Effect.Rent -> launch {
                val answer = services.cloud.rent(effect.asked)
                post(Input.RentalCompleted(effect.asked.request, answer))
            }
            is Effect.TerminateMachines -> launch {
                if (services.cloud.terminate(effect.machines)) post(Input.MachinesTerminated(effect.machines))
            }
            is Effect.ShareImageCacheHints -> shareImageCacheHints(effect.images)
            is Effect.StepDown -> stepDown(effect)
            is Effect.Log -> when (effect.level) {
                LogLevel.ERROR -> log.error("term {}: {}", term.revision, effect.text)
                LogLevel.INFO -> log.info("term {}: {}", term.revision, effect.text)
                LogLevel.DEBUG -> log.debug("term {}: {}", term.revision, effect.text)
            }
        }
    }

    /** As for single answers to users: nothing leaves after a standstill that outlasted the lease. */
    private fun checked(answer: Effect.AnswerFollower): Effect.AnswerFollower = if (services.clocks.steadyMs() < lease.validUntilMs) {
        answer
    } else {
        answer.copy(statuses = answer.statuses.map { UserReply.Unavailable("no lease") })
    }

    private suspend fun tick() {
        while (true) {
            delay(services.timings.roundMs)
            endOld(users)
            endOld(reports)
            endOld(batches)
            post(Input.Tick)
        }
    }

    private suspend fun watchTypes() {
        while (true) {
            services.cloud.machineTypes().valueOrNull()?.let { post(Input.MachineTypesListed(it)) }
            delay((services.deployment.leaseS * 1000).toLong())
        }
    }

    private suspend fun watchMachines() {
        val periodMs = (maxOf(services.deployment.listLagS, services.deployment.reportS) * 1000).toLong()
        while (true) {
            services.cloud.machines().valueOrNull()?.let { post(Input.MachinesListed(it)) }
            delay(periodMs)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.leader")

        /** What the page allows a Retry-After to ask for. */
        const val MAX_RETRY_AFTER_S = 30

        /** Longer than the engine takes to give up on a request by itself; only a stopped engine meets it. */
        const val ANSWER_MS = 3000L
    }
}
