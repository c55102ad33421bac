package cleathitch.controller

import cleathitch.config.Settings
import cleathitch.election.LeaderElection
import cleathitch.election.LeaderLease
import cleathitch.leader.LeaderDependencies
import cleathitch.leader.LeaderTerm
import cleathitch.leader.heartbeatPeriodMs
import cleathitch.peers.LeaderBatcher
import cleathitch.peers.PeerClient
import cleathitch.peers.WorkerCommandDelivery
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.log.StoreHealth
import cleathitch.scheduler.model.Term
import cleathitch.storage.KeyValueStoreClient
import cleathitch.storage.LogStorage
import cleathitch.workers.WorkerDistribution
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * One controller process: takes part in the leader election, acts as leader or follower, and serves users, workers and other
 * controllers. Creates the components for these tasks, connects them and starts their loops.
 *
 * The election runs on the event loop of [leaseScope], everything else on that of [scope]. The event loops are separate so that
 * the leader doesn't lose its lease under a high request load. The caller cancels both scopes.
 */
class Controller(
    private val settings: Settings,
    private val dependencies: LeaderDependencies,
    private val store: KeyValueStoreClient,
    private val election: LeaderElection,
    private val leaseScope: CoroutineScope,
    private val peers: PeerClient,
    private val scope: CoroutineScope,
) {
    private val member = settings.member
    private val monotonicMs = dependencies.clocks::monotonicMs
    private val processingTimes = dependencies.processingTimes
    private val heartbeatPeriodMs = settings.deployment.heartbeatPeriodMs
    private val leaderLeaseMs = dependencies.timings.leaderLeaseMs
    private val peerAddresses = settings.peers.associate { it.member to it.address }

    private val storeHealth = StoreHealth(settings.deployment.storeLimits)
    private val machineTypes = MachineTypeDiscovery(dependencies.cloud, retryMs = heartbeatPeriodMs / 3)
    private val imageCacheHints = ImageCacheHintSharing(settings.peers, peers, processingTimes, timeoutMs = heartbeatPeriodMs / 3, scope)
    private val contacts = FollowerContacts(monotonicMs, reachableMs = leaderLeaseMs)
    private val role = ControllerRole(member, monotonicMs, scope, dependencies.meterRegistry, ::newTerm)
    private val announcer = LeaderAnnouncer(member, settings.peers, peers, role, contacts, leaderLeaseMs, scope)
    private val processingTimesLog = ProcessingTimesLog(role, processingTimes, periodMs = heartbeatPeriodMs * LOG_PERIOD_HEARTBEATS)
    private val batcher = LeaderBatcher(
        intervalMs = dependencies.timings.forwardIntervalMs,
        unreachableMs = leaderLeaseMs,
        nowMs = monotonicMs,
        leader = role::knownLeader,
        send = BatchForwarder(member, peerAddresses, peers, role, processingTimes)::send,
    )
    private val userRequests = UserRequestRouter(role, batcher, peers, peerAddresses)

    /** Answers the requests of the load balancer, users and workers. */
    val requests = RequestRouter(
        Readiness(role, contacts, settings.peers.size, leaderLeaseMs, monotonicMs),
        HeartbeatRouter(member, role, contacts, batcher, WorkerDistribution(heartbeatPeriodMs), processingTimes, monotonicMs),
        userRequests,
    )

    /** Answers the requests of other controllers. */
    val peerRequests = PeerRequestHandler(
        role,
        contacts,
        imageCacheHints,
        userRequests,
        batcher,
        dependencies.workers,
        processingTimes,
        scope,
    )

    /**
     * Starts all loops and joins the election. Returns once another controller holds the leader key or this one is ready as leader,
     * and at the latest after [STARTUP_WAIT_LEASES] lease durations.
     */
    suspend fun start() {
        scope.launch { machineTypes.run() }
        scope.launch { announcer.run() }
        scope.launch { batcher.run() }
        if (processingTimesLog.isEnabled) scope.launch { processingTimesLog.run() }
        leaseScope.launch { election.run(role) }
        // Requests that arrive before a leader is known can't be answered, and would only delay its discovery.
        role.awaitLeader(timeoutMs = leaderLeaseMs * STARTUP_WAIT_LEASES)
    }

    private fun newTerm(lease: LeaderLease, stepDown: (Effect.StepDown) -> Unit): LeaderTerm {
        val term = lease.term
        val routes = TermCommandRoutes(term, member, contacts, peerAddresses, peers, dependencies.workers, timeoutMs = leaderLeaseMs)
        return LeaderTerm(
            lease,
            dependencies,
            newLogStorage(term),
            machineTypes.machineTypes,
            imageCacheHints.snapshot(),
            newDelivery = { enqueue -> WorkerCommandDelivery(routes, resultTimeoutMs = heartbeatPeriodMs, monotonicMs, enqueue) },
            imageCacheHints::share,
            stepDown,
        )
    }

    private fun newLogStorage(term: Term) = LogStorage(
        store,
        LOG_KEY_PREFIX,
        LEADER_KEY,
        term,
        storeHealth,
        processingTimes,
        dependencies.meterRegistry,
        monotonicMs,
    )

    companion object {
        /** The key that the leader holds, bound to its lease. */
        const val LEADER_KEY = "leader/cleathitch"

        /** The prefix of the log's keys. */
        private const val LOG_KEY_PREFIX = "cleathitch/"

        /** How long a starting controller waits for a leader before it accepts requests, in leader lease durations. */
        private const val STARTUP_WAIT_LEASES = 4

        /** The interval at which processing times are logged, in heartbeat periods. */
        private const val LOG_PERIOD_HEARTBEATS = 5
    }
}
