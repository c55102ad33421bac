package cleathitch.leader

import cleathitch.election.LeaderLease
import cleathitch.metrics.ProcessingStage
import cleathitch.metrics.logValue
import cleathitch.peers.DeliveryResultMessage
import cleathitch.peers.WorkerCommandDelivery
import cleathitch.scheduler.Scheduler
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.LogLevel
import cleathitch.scheduler.log.RecoveredState
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.storage.LogStorage
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import org.slf4j.LoggerFactory

/**
 * One term as leader: recovers the scheduler from the decision log, then passes it batches of inputs and executes its effects.
 * Only [run] accesses the scheduler. Confined to the controller's event loop.
 *
 * [initialMachineTypes] and [initialImageCacheHints] are what this process already knows when the term begins, so that the
 * scheduler can place tasks before the cloud provider and the workers have answered. [stepDown] ends the term: it cancels
 * [run] and calls [end].
 */
class LeaderTerm(
    val lease: LeaderLease,
    private val dependencies: LeaderDependencies,
    private val storage: LogStorage,
    private val initialMachineTypes: List<MachineType>,
    private val initialImageCacheHints: Map<MachineId, ImageCache>,
    newDelivery: ((Input) -> Unit) -> WorkerCommandDelivery,
    private val shareImageCacheHints: (Map<MachineId, ImageCache>) -> Unit,
    private val stepDown: (Effect.StepDown) -> Unit,
) {
    private val clocks = dependencies.clocks
    private val queue = InputQueue(dependencies.maxQueuedRequests)
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val delivery = newDelivery(::enqueue)
    private val cloudPolling = CloudPolling(dependencies.cloud, dependencies.deployment, ::enqueue)

    /** The requests that are answered by the scheduler during this term. */
    val requests = TermRequests(queue, clocks::monotonicMs, wakeUp = { wakeUp.trySend(Unit) })

    val term get() = lease.term

    /** The number of the term, which increases from term to term. */
    val revision get() = term.revision

    /** When this term began, by the monotonic clock. */
    val electedAtMs = clocks.monotonicMs()

    /** Whether requests are answered: the log has been replayed and the term has not ended. */
    val isReady get() = requests.isOpen

    /** The term's current phase and its details, as key-value pairs for a log line. */
    fun describePhase(): String = when {
        isReady -> "phase=leading queued_requests=${queue.queuedRequests}"
        else -> "phase=recovering storage=${logValue(storage.loadProgress.toString())}"
    }

    /** Records the workers' answers to commands that a follower delivered. */
    fun recordDeliveryResults(results: List<DeliveryResultMessage>) = delivery.onDeliveryResults(results)

    /** Ends all pending requests; no further requests are accepted. */
    fun end() {
        requests.close()
        dependencies.placementMeters.endTerm()
    }

    /** Recovers the scheduler, calls [onRecovered], and leads until cancelled. */
    suspend fun run(onRecovered: () -> Unit) = coroutineScope {
        val scheduler = recover(onRecovered)
        launch { tick() }
        cloudPolling.launchIn(this)
        val executor = EffectExecutor(
            scope = this,
            lease,
            storage,
            dependencies.cloud,
            delivery,
            requests,
            clocks::monotonicMs,
            ::enqueue,
            shareImageCacheHints,
            stepDown,
        )
        val batchSizes = dependencies.meterRegistry.summary("scheduler.batch")
        while (true) {
            wakeUp.receive()
            while (!queue.isEmpty) {
                val batch = nextBatch()
                batchSizes.record(batch.size.toDouble())
                executor.execute(apply(scheduler, batch))
                // Lets other coroutines on this event loop run between two batches, also under overload.
                yield()
            }
        }
    }

    private suspend fun recover(onRecovered: () -> Unit): Scheduler {
        val startMs = clocks.monotonicMs()
        val recovered = storage.load()
        val scheduler = newScheduler(recovered)
        if (initialMachineTypes.isNotEmpty()) enqueue(Input.MachineTypesListed(initialMachineTypes))
        enqueue(Input.ImageCacheHintsReceived(initialImageCacheHints))
        requests.open()
        onRecovered()
        log.info(
            "term={} event=recovered duration_ms={} jobs_open={} records={}",
            revision,
            clocks.monotonicMs() - startMs,
            scheduler.openJobCount,
            recovered.records.size,
        )
        return scheduler
    }

    private fun newScheduler(recovered: RecoveredState) = Scheduler(
        dependencies.deployment,
        dependencies.timings,
        term,
        recovered,
        clocks.clockReading(),
        storage.sizes,
        logLevel = when {
            log.isDebugEnabled -> LogLevel.DEBUG
            log.isInfoEnabled -> LogLevel.INFO
            else -> LogLevel.ERROR
        },
        storage.storeHealth,
    )

    /** The next batch of inputs, which always includes the current expiry time of the lease. */
    private fun nextBatch(): List<Input> {
        lease.recordProgress(clocks.monotonicMs())
        enqueue(Input.LeaseRenewed(lease.validUntilMs))
        return queue.nextBatch(requests::isAwaited)
    }

    private fun apply(scheduler: Scheduler, batch: List<Input>): List<Effect> {
        val startNs = System.nanoTime()
        val effects = dependencies.processingTimes.measure(ProcessingStage.SCHEDULER) {
            scheduler.handle(batch, clocks.clockReading())
        }
        dependencies.placementMeters.record(scheduler.placementStatistics)
        requests.recordBatch(batch.size, durationMs = (System.nanoTime() - startNs) / NS_PER_MS)
        return effects
    }

    private fun enqueue(input: Input) {
        queue.offer(input)
        wakeUp.trySend(Unit)
    }

    private suspend fun tick() {
        while (true) {
            delay(dependencies.timings.roundPeriodMs)
            requests.expire()
            enqueue(Input.Tick)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.leader")
        const val NS_PER_MS = 1e6
    }
}
