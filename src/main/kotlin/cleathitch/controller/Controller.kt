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
import cleathitch.storage.KeyValueStoreClient
import cleathitch.storage.LogStorage
import cleathitch.workers.WorkerDistribution
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * One controller process: takes part in the election, leads or follows, and serves users, workers and other controllers.
 * Wires the parts, each of which has one of these concerns, and starts their loops.
 *
 * Everything runs on the event loop of [scope], whose owner ends it; the election alone runs in [leaseScope], on a loop of
 * its own, so that a flood of requests can't cost the leader its lease.
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
    private val steadyMs = dependencies.clocks::steadyMs
    private val processingTimes = dependencies.processingTimes
    private val heartbeatPeriodMs = settings.deployment.heartbeatPeriodMs
    private val leaderLeaseMs = dependencies.timings.leaderLeaseMs
    private val peerAddresses = settings.peers.associate { it.member to it.address }

    private val machineTypes = MachineTypeDiscovery(dependencies.cloud, retryMs = heartbeatPeriodMs / 3)
    private val imageCacheHints = ImageCacheHintSharing(settings.peers, peers, processingTimes, timeoutMs = heartbeatPeriodMs / 3, scope)
    private val contacts = FollowerContacts(steadyMs, reachableMs = leaderLeaseMs)
    private val role = ControllerRole(member, steadyMs, scope, dependencies.meters, ::newTerm)
    private val announcer = LeaderAnnouncer(member, settings.peers, peers, role, contacts, leaderLeaseMs, scope)
    private val processingTimesLog = ProcessingTimesLog(role, processingTimes, periodMs = heartbeatPeriodMs * LOG_PERIOD_HEARTBEATS)
    private val batches = LeaderBatcher(
        intervalMs = dependencies.timings.forwardIntervalMs,
        unreachableMs = leaderLeaseMs,
        nowMs = steadyMs,
        leader = role::knownLeader,
        send = BatchForwarder(member, peerAddresses, peers, role, processingTimes)::send,
    )
    private val userRequests = UserRequestRouter(role, batches, peers, peerAddresses)

    /** Answers the load balancer, users and workers. */
    val requests = RequestRouter(
        Readiness(role, contacts, settings.peers.size, leaderLeaseMs, steadyMs),
        HeartbeatRouter(member, role, contacts, batches, WorkerDistribution(heartbeatPeriodMs), processingTimes, steadyMs),
        userRequests,
    )

    /** Answers the other controllers. */
    val peerRequests = PeerRequestHandler(
        role,
        contacts,
        imageCacheHints,
        userRequests,
        batches,
        dependencies.workers,
        processingTimes,
        scope,
    )

    /** Takes part in the election, and returns once there is a leader, or none is to be expected soon. */
    suspend fun start() {
        scope.launch { machineTypes.run() }
        scope.launch { announcer.run() }
        scope.launch { batches.run() }
        if (processingTimesLog.isEnabled) scope.launch { processingTimesLog.run() }
        leaseScope.launch { election.run(role) }
        // Requests that come before there is a leader to answer them only delay its discovery.
        role.awaitLeader(timeoutMs = leaderLeaseMs * FIRST_LEADER_LEASES)
    }

    private fun newTerm(lease: LeaderLease, stepDown: (Effect.StepDown) -> Unit): LeaderTerm {
        val term = lease.term
        val routes = TermCommandRoutes(term, member, contacts, peerAddresses, peers, dependencies.workers, timeoutMs = leaderLeaseMs)
        return LeaderTerm(
            lease,
            dependencies,
            LogStorage(store, PREFIX, LEADER_KEY, term, processingTimes, steadyMs),
            machineTypes.machineTypes,
            imageCacheHints.snapshot(),
            newDelivery = { enqueue -> WorkerCommandDelivery(routes, resultTimeoutMs = heartbeatPeriodMs, steadyMs, enqueue) },
            imageCacheHints::share,
            stepDown,
        )
    }

    companion object {
        /** The key that the leader holds under its lease. */
        const val LEADER_KEY = "leader/cleathitch"

        /** Begins each key of the log. */
        private const val PREFIX = "cleathitch/"

        /** For how many leases a controller that starts waits for a leader before it listens to requests. */
        private const val FIRST_LEADER_LEASES = 4

        /** The times of the processing stages are logged once in so many heartbeat periods. */
        private const val LOG_PERIOD_HEARTBEATS = 5
    }
}
