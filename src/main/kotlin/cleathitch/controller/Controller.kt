package cleathitch.controller

import cleathitch.config.Settings
import cleathitch.election.LeaderElection
import cleathitch.election.LeaderLease
import cleathitch.http.HttpReply
import cleathitch.leader.LeaderDependencies
import cleathitch.leader.LeaderTerm
import cleathitch.leader.RequestOutcome
import cleathitch.metrics.ProcessingStage
import cleathitch.peers.BatchResult
import cleathitch.peers.DeliveryMessage
import cleathitch.peers.DeliveryResult
import cleathitch.peers.HeartbeatDecisionMessage
import cleathitch.peers.JobStatusMessage
import cleathitch.peers.KnownLeader
import cleathitch.peers.LeaderBatcher
import cleathitch.peers.OutgoingBatch
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerCodec
import cleathitch.peers.PeerReply
import cleathitch.peers.PeerRequest
import cleathitch.peers.PeerResult
import cleathitch.peers.WorkerCommandDelivery
import cleathitch.peers.WorkerCommandRoutes
import cleathitch.peers.reply
import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.UserProtocol
import cleathitch.protocol.WorkerProtocol
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.ImageCache
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Term
import cleathitch.storage.KeyValueStoreClient
import cleathitch.storage.LogStorage
import cleathitch.workers.ForwardOutcome
import cleathitch.workers.WorkerDistribution
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * One controller: leads or follows, answers users and workers by itself or through the leader.
 * Everything runs on one event loop.
 */
class Controller(
    private val settings: Settings,
    private val services: LeaderDependencies,
    private val state: KeyValueStoreClient,
    private val leadership: LeaderElection,
    private val leaseScope: CoroutineScope,
    private val peers: PeerClient,
    private val scope: CoroutineScope,
) {
    private val clocks = services.clocks
    private val reportMs = (settings.deployment.reportS * 1000).toLong()
    private val leaseMs = services.timings.leaderLeaseMs

    private val peerAddresses = settings.peers.associate { it.member to it.address }

    private var types: List<MachineType> = emptyList()
    private val imageCacheHints = HashMap<MachineId, ImageCache>()
    private val distribution = WorkerDistribution(reportMs)
    private val contacts = FollowerContacts(clocks::steadyMs, reachableMs = leaseMs)
    private val role = ControllerRole(settings.member, clocks::steadyMs, scope, services.meters, ::newTerm)
    private val readiness = Readiness(role, contacts, settings.peers.size, leaseMs, clocks::steadyMs)
    private val announcer = LeaderAnnouncer(settings.member, settings.peers, peers, role, contacts, leaseMs, scope)
    private val batches = LeaderBatcher(
        intervalMs = services.timings.forwardMs,
        unreachableMs = leaseMs,
        nowMs = clocks::steadyMs,
        leader = role::knownLeader,
        send = ::sendBatch,
    )

    /** Takes part in the election, and returns once there is a leader, or there seems to be none soon. */
    suspend fun start() {
        scope.launch { learnTypes() }
        scope.launch { announcer.run() }
        scope.launch { batches.run() }
        if (log.isInfoEnabled) scope.launch { logProcessingTimes() }
        leaseScope.launch { leadership.run(role) }
        // Until there is someone to send them to, users and workers only keep us from finding that out.
        role.awaitLeader(timeoutMs = leaseMs * FIRST_LEASES)
    }

    private suspend fun learnTypes() {
        while (types.isEmpty()) {
            types = services.cloud.types().orEmpty()
            if (types.isEmpty()) delay(reportMs / 3)
        }
    }

    private suspend fun logProcessingTimes() {
        while (true) {
            delay(reportMs * WORK_LOG_REPORTS)
            val roleName = if (role.activeTerm != null) "leader" else "follower"
            log.info("work as {} in {} ms: {}", roleName, reportMs * WORK_LOG_REPORTS, services.processingTimes.summary())
        }
    }

    private fun newTerm(lease: LeaderLease, stepDown: (Effect.StepDown) -> Unit): LeaderTerm {
        val term = lease.term
        return LeaderTerm(
            lease,
            services,
            LogStorage(state, PREFIX, LEADER_KEY, term, services.processingTimes, clocks::steadyMs),
            types,
            HashMap(imageCacheHints),
            { WorkerCommandDelivery(Routes(term), openMs = reportMs, clocks::steadyMs, it) },
            ::shareImageCacheHints,
            stepDown,
        )
    }

    private inner class Routes(private val term: Term) : WorkerCommandRoutes {
        override fun reachableFollowers() = contacts.reachableFollowers()
        override fun followerOf(machine: MachineId) = contacts.followerOf(machine)

        override suspend fun toFollower(follower: String, commands: List<DeliveryMessage>): Boolean {
            val address = peerAddresses[follower] ?: return false
            return peers.ask(address, PeerRequest.DeliverCommands(settings.member, term.revision, commands), leaseMs).reply?.status == 200
        }

        override suspend fun toWorker(command: Effect.ToWorker) = services.workers.send(command)
    }

    /** Part by part, so that other work gets its turn between them. */
    private fun shareImageCacheHints(images: Map<MachineId, ImageCache>) {
        scope.launch {
            for (part in PeerRequest.ImageCacheHints.of(images)) {
                val encoded = services.processingTimes.measure(ProcessingStage.IMAGE_HINTS_ENCODING) { PeerCodec.encode(part) }
                settings.peers.map { peer -> launch { peers.ask(peer.address, encoded, reportMs / 3) } }.joinAll()
            }
        }
    }

    // ---- requests

    suspend fun front(method: String, path: String, body: ByteArray): HttpReply = when {
        path == "/ready" -> if (method == "GET") HttpReply(if (readiness.isReady()) 200 else 503) else HttpReply(405)
        path == "/agent/beat" -> if (method == "POST") workerReport(body) else HttpReply(405)
        path == "/submissions" || path.startsWith("/submissions/") -> user(method, path, body, forwarded = false)
        else -> HttpReply(404)
    }

    private suspend fun user(method: String, path: String, body: ByteArray, forwarded: Boolean): HttpReply {
        val call: suspend (LeaderTerm) -> UserReply = try {
            userCall(method, path, body) ?: return HttpReply(if (isUserPath(path)) 405 else 404)
        } catch (e: MalformedMessageException) {
            return HttpReply(400, UserProtocol.error(e.message.orEmpty()))
        }
        role.activeTerm?.let { return UserProtocol.reply(call(it)) }
        val polled = if (method == "GET") UserProtocol.jobId(path.removePrefix("/submissions/")) else null
        if (polled != null) return poll(polled)
        val address = role.leader?.let(peerAddresses::get)
        if (!forwarded && address != null) {
            val reply = peers.ask(address, PeerRequest.ForwardUserRequest(method, path, body), FORWARD_MS).reply
            if (reply != null) return HttpReply(reply.status, reply.body, reply.retryAfterS)
        }
        return UserProtocol.elsewhere("no way to the leader")
    }

    /** A poll that came to a follower: its leader is asked together with others. */
    private suspend fun poll(job: JobId): HttpReply {
        val reply = if (role.knownLeader() == null || batches.leaderUnreachable) null else batches.status(job)
        return reply?.let(UserProtocol::reply) ?: UserProtocol.elsewhere("no way to the leader")
    }

    private fun isUserPath(path: String): Boolean {
        val parts = path.removePrefix("/submissions").trim('/').split('/')
        return path == "/submissions" || parts.size == 1 || (parts.size == 2 && parts[1] == "abort")
    }

    /** What is asked of the leader; null if there is no such method or path. */
    private fun userCall(method: String, path: String, body: ByteArray): (suspend (LeaderTerm) -> UserReply)? {
        if (path == "/submissions") {
            if (method != "POST") return null
            val spec = UserProtocol.submission(body)
            return { it.requests.submit(spec) }
        }
        val parts = path.removePrefix("/submissions/").split('/')
        val job = UserProtocol.jobId(parts[0]) ?: return { UserReply.NotFound }
        return when {
            parts.size == 1 && method == "GET" -> { term -> term.requests.poll(job) }
            parts.size == 2 && parts[1] == "abort" && method == "POST" -> { term -> term.requests.cancel(job) }
            else -> null
        }
    }

    private suspend fun workerReport(body: ByteArray): HttpReply {
        // Right after an election the whole fleet comes at once; what needs no look at the report gets none.
        if (role.activeTerm?.isReady == false || role.activeTerm == null && role.leader == null) return HttpReply(503)
        if (role.activeTerm == null && batches.leaderUnreachable) return HttpReply(421, WorkerProtocol.elsewhere(role.leader))
        val report = try {
            services.processingTimes.measure(ProcessingStage.HEARTBEAT_DECODING) { WorkerProtocol.report(body) }
        } catch (e: MalformedMessageException) {
            log.error("a garbled report: {}", e.message)
            return HttpReply(400, UserProtocol.error(e.message.orEmpty()))
        }
        role.activeTerm?.let { return reportToUs(it, report) }
        return when (val outcome = batches.decide(report)) {
            is ForwardOutcome.Answered -> HttpReply(200, WorkerProtocol.answer(outcome.token, outcome.commands))
            ForwardOutcome.Unanswered -> HttpReply(503)
        }
    }

    private suspend fun reportToUs(mine: LeaderTerm, report: Heartbeat): HttpReply {
        distribution.followerFor(report.machine, contacts.reachableFollowers(), clocks.steadyMs())?.let {
            return HttpReply(421, WorkerProtocol.elsewhere(it))
        }
        return when (val outcome = mine.requests.heartbeat(report)) {
            is RequestOutcome.Answered -> HttpReply(200, WorkerProtocol.answer(outcome.answer.token, outcome.answer.commands))
            is RequestOutcome.Unanswered -> if (role.activeTerm === mine) {
                HttpReply(503)
            } else {
                HttpReply(421, WorkerProtocol.elsewhere(role.leader.takeIf { it != settings.member }))
            }
        }
    }

    private suspend fun sendBatch(to: KnownLeader, batch: OutgoingBatch, timeoutMs: Long): BatchResult {
        val address = peerAddresses[to.member] ?: return BatchResult.NotLeading
        val encoded = services.processingTimes.measure(ProcessingStage.BATCH_ENCODING) {
            PeerCodec.encode(PeerRequest.FollowerBatch.of(settings.member, batch))
        }
        return when (val result = peers.ask(address, encoded, timeoutMs)) {
            is PeerResult.Answered -> decisionsOf(to, batch, result.reply)
            PeerResult.Unreachable -> BatchResult.Unreachable
            PeerResult.TimedOut -> BatchResult.TimedOut
        }
    }

    private fun decisionsOf(to: KnownLeader, batch: OutgoingBatch, reply: PeerReply): BatchResult {
        val decisions = reply.decisions ?: return BatchResult.NotLeading
        val statuses = reply.statuses ?: return BatchResult.NotLeading
        role.onLeaderAnnouncement(to.member, to.term)
        return BatchResult.Answered(
            decisions.map { it.toDecision() },
            batch.polls.zip(statuses) { job, status -> status.toReply(job) },
        )
    }

    private suspend fun decide(request: PeerRequest.FollowerBatch): PeerReply {
        role.stepDownIfOlderThan(request.term, request.from)
        val mine = role.activeTerm?.takeIf { it.term.revision == request.term && it.isReady }
            ?: return PeerReply(503, leader = role.leader, term = role.leaderTerm)
        contacts.recordContact(request.from)
        mine.recordDeliveryResults(request.directResults)
        val reports = services.processingTimes.measure(ProcessingStage.BATCH_DECODING) { request.toReports() }
        contacts.recordHeartbeats(request.from, reports.map { it.machine })
        return when (val outcome = mine.requests.followerBatch(reports, request.polls)) {
            is RequestOutcome.Answered -> PeerReply(
                status = 200,
                leader = role.leader,
                term = role.leaderTerm,
                decisions = outcome.answer.decisions.map(HeartbeatDecisionMessage::of),
                statuses = outcome.answer.statuses.map(JobStatusMessage::of),
            )
            is RequestOutcome.Unanswered -> PeerReply(503, leader = role.leader, term = role.leaderTerm)
        }
    }

    /** Carries commands of the leader to workers; what they answer goes back with the next batches. */
    private fun deliver(request: PeerRequest.DeliverCommands): PeerReply {
        role.onLeaderAnnouncement(request.from, request.term)
        val isFromLeader = role.activeTerm == null && role.leader == request.from && role.leaderTerm == request.term
        if (isFromLeader) request.commands.forEach { command -> scope.launch { deliver(request.term, command) } }
        return PeerReply(if (isFromLeader) 200 else 503, leader = role.leader, term = role.leaderTerm)
    }

    private suspend fun deliver(term: Long, command: DeliveryMessage) {
        val report = services.workers.send(command.toCommand())
        if (report != null) batches.tell(DeliveryResult(term, command.id, report))
    }

    suspend fun peer(request: PeerRequest): PeerReply = when (request) {
        is PeerRequest.AnnounceLeader -> {
            role.onLeaderAnnouncement(request.from, request.term)
            PeerReply(200, leader = role.leader, term = role.leaderTerm)
        }
        is PeerRequest.ImageCacheHints -> {
            if (imageCacheHints.size > MAX_IMAGES_TOLD) imageCacheHints.clear()
            imageCacheHints += request.held()
            PeerReply(200, leader = role.leader, term = role.leaderTerm)
        }
        is PeerRequest.ForwardUserRequest -> user(request.method, request.path, request.body, forwarded = true)
            .let { PeerReply(it.status, it.body, it.retryAfterS, role.leader, role.leaderTerm) }
        is PeerRequest.FollowerBatch -> decide(request)
        is PeerRequest.DeliverCommands -> deliver(request)
    }

    companion object {
        const val LEADER_KEY = "leader/cleathitch"
        private val log = LoggerFactory.getLogger("cleathitch.node")
        private const val PREFIX = "cleathitch/"

        /** For so many leases a node that starts looks for a leader before it listens. */
        private const val FIRST_LEASES = 4

        /** Under what users wait for a poll's answer. */
        private const val FORWARD_MS = 1800L

        /** The work's times are logged once in so many report periods. */
        private const val WORK_LOG_REPORTS = 5

        /** Machines come and go; what was told of the present ones comes again soon. */
        private const val MAX_IMAGES_TOLD = 10_000
    }
}
