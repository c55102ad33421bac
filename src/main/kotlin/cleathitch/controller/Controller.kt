package cleathitch.controller

import cleathitch.config.Settings
import cleathitch.election.ElectionListener
import cleathitch.election.LeaderElection
import cleathitch.election.LeaderLease
import cleathitch.http.HttpReply
import cleathitch.leader.LeaderDependencies
import cleathitch.leader.LeaderTerm
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
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
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
) : ElectionListener {
    private val clocks = services.clocks
    private val reportMs = (settings.deployment.reportS * 1000).toLong()
    private val leaseMs = services.timings.leaderLeaseMs

    /** When each peer last answered us as leader. */
    private val peerHeardMs = HashMap<String, Long>()
    private val peerAddresses = settings.peers.associate { it.member to it.address }

    private var leading: LeaderTerm? = null
    private var leadingJob: Job? = null
    private var leader: String? = null
    private var leaderTerm = 0L
    private var leaderHeardMs: Long? = null
    private val leaderFound = CompletableDeferred<Unit>()
    private var types: List<MachineType> = emptyList()
    private val imageCacheHints = HashMap<MachineId, ImageCache>()

    /** The follower through which each machine last reported to us as leader. */
    private val reportsTo = HashMap<MachineId, String>()
    private val distribution = WorkerDistribution(reportMs)
    private val elections = services.meters.counter("leader.elections")
    private val replays = services.meters.counter("leader.replays")
    private val batches = LeaderBatcher(
        intervalMs = services.timings.forwardMs,
        unreachableMs = leaseMs,
        nowMs = clocks::steadyMs,
        leader = ::otherLeader,
        send = ::sendBatch,
    )

    /** Takes part in the election, and returns once there is a leader, or there seems to be none soon. */
    suspend fun start() {
        services.meters.gauge("leader.term", this) { (it.leading?.term?.revision ?: 0).toDouble() }
        scope.launch { learnTypes() }
        scope.launch { tellPeers() }
        scope.launch { batches.run() }
        if (log.isInfoEnabled) scope.launch { logProcessingTimes() }
        leaseScope.launch { leadership.run(this@Controller) }
        // Until there is someone to send them to, users and workers only keep us from finding that out.
        withTimeoutOrNull(leaseMs * FIRST_LEASES) { leaderFound.await() }
    }

    private suspend fun learnTypes() {
        while (types.isEmpty()) {
            types = services.cloud.machineTypes().valueOrNull().orEmpty()
            if (types.isEmpty()) delay(reportMs / 3)
        }
    }

    private suspend fun logProcessingTimes() {
        while (true) {
            delay(reportMs * WORK_LOG_REPORTS)
            val role = if (leading != null) "leader" else "follower"
            log.info("work as {} in {} ms: {}", role, reportMs * WORK_LOG_REPORTS, services.processingTimes.summary())
        }
    }

    // ---- leadership

    // The lease has a loop of its own; what follows from it happens on ours.
    override fun elected(lease: LeaderLease) = post { lead(lease) }
    override fun deposed(lease: LeaderLease, reason: String) = post { depose(lease.term, reason) }
    override fun leaderIs(member: String?, term: Long) = post { follow(member, term) }

    private fun post(action: () -> Unit) {
        scope.launch { action() }
    }

    private fun lead(lease: LeaderLease) {
        val term = lease.term
        log.info("term {}: elected", term.revision)
        elections.increment()
        val store = LogStorage(state, PREFIX, LEADER_KEY, term, services.processingTimes)
        val mine =
            LeaderTerm(lease, services, store, types, HashMap(imageCacheHints), {
                WorkerCommandDelivery(Routes(term), resultTimeoutMs = reportMs, clocks::steadyMs, it)
            }, ::shareImageCacheHints) {
                depose(term, it.reason, it.transferLeadership)
            }
        leading = mine
        leader = settings.member
        leaderTerm = term.revision
        leadingJob = scope.launch { mine.run(::replayed) }
    }

    private fun replayed() {
        replays.increment()
        leaderFound.complete(Unit)
    }

    private inner class Routes(private val term: Term) : WorkerCommandRoutes {
        override fun reachableFollowers() = this@Controller.reachableFollowers()
        override fun followerOf(machine: MachineId) = reportsTo[machine]

        override suspend fun toFollower(follower: String, commands: List<DeliveryMessage>): Boolean {
            val address = peerAddresses[follower] ?: return false
            return peers.ask(address, PeerRequest.DeliverCommands(settings.member, term.revision, commands), leaseMs).reply?.status == 200
        }

        override suspend fun toWorker(command: Effect.ToWorker) = services.workers.send(command)
    }

    private fun reachableFollowers(): List<String> {
        val now = clocks.steadyMs()
        return peerHeardMs.filterValues { now - it < leaseMs }.keys.toList()
    }

    private fun depose(term: Term, reason: String, transferLeadership: Boolean = false) {
        val mine = leading ?: return
        if (mine.term != term) return
        log.info(
            "term {}: stepping down: {}; {} ms after its election, {}",
            term.revision,
            reason,
            clocks.steadyMs() - mine.sinceMs,
            mine.activity,
        )
        leading = null
        if (leader == settings.member) leader = null
        leadingJob?.cancel()
        mine.end()
        mine.lease.resign(reason, transferLeadership)
    }

    private fun follow(member: String?, term: Long) {
        if (leading != null || term < leaderTerm) return
        if (member != leader) {
            log.info("leader: {}", member ?: "none")
            // A new leader gets the time of its replay to make itself heard.
            if (member != null) {
                leaderHeardMs = clocks.steadyMs()
            }
        }
        leader = member
        leaderTerm = term
        if (member != null) leaderFound.complete(Unit)
    }

    /** A follower whose batch of reports was answered a moment ago has heard from its leader by that. */
    private fun needsWord(peer: String) = clocks.steadyMs() - (peerHeardMs[peer] ?: Long.MIN_VALUE / 2) >= leaseMs / 6

    /** The leader tells its peers every third of a lease, so that they know it even without the state service. */
    private suspend fun tellPeers() {
        while (true) {
            val mine = leading
            if (mine != null && mine.ready) {
                for (peer in settings.peers.filter { needsWord(it.member) }) {
                    scope.launch {
                        val word = PeerRequest.AnnounceLeader(settings.member, settings.member, mine.term.revision)
                        val reply = peers.ask(peer.address, word, leaseMs / 3).reply ?: return@launch
                        peerHeardMs[peer.member] = clocks.steadyMs()
                        if (reply.term > mine.term.revision) depose(mine.term, "${peer.member} knows term ${reply.term}")
                    }
                }
            }
            delay(leaseMs / 3)
        }
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

    private fun heard(from: String, term: Long) {
        if (term < leaderTerm) return
        leading?.let { if (it.term.revision < term) depose(it.term, "$from leads in term $term") }
        if (leading != null) return
        if (leader != from) log.info("leader: {} in term {}", from, term)
        leader = from
        leaderTerm = term
        leaderHeardMs = clocks.steadyMs()
    }

    // ---- requests

    suspend fun front(method: String, path: String, body: ByteArray): HttpReply = when {
        path == "/ready" -> if (method == "GET") HttpReply(if (isReady()) 200 else 503) else HttpReply(405)
        path == "/agent/beat" -> if (method == "POST") workerReport(body) else HttpReply(405)
        path == "/submissions" || path.startsWith("/submissions/") -> user(method, path, body, forwarded = false)
        else -> HttpReply(404)
    }

    /**
     * Ready while requests can be served, here or through the leader. The load balancer takes ever longer
     * to come back to a node that was not ready, so what passes by itself doesn't count: an election, and
     * an outage of the state service that the peers see, too.
     */
    private fun isReady(): Boolean {
        val now = clocks.steadyMs()
        leading?.let { mine ->
            if (!mine.ready) return now - mine.sinceMs < leaseMs
            val peersHeard = peerHeardMs.values.count { now - it < leaseMs }
            return now < mine.lease.validUntilMs + leaseMs || peersHeard * 2 >= settings.peers.size
        }
        val silentMs = now - (leaderHeardMs ?: return false)
        // A dead leader's key goes with its lease. While it stands, the leader lives: it is slow, or we are cut off from it.
        return silentMs < leaseMs * if (leader == null) ELECTION_LEASES else SILENT_LEASES
    }

    private suspend fun user(method: String, path: String, body: ByteArray, forwarded: Boolean): HttpReply {
        val call: suspend (LeaderTerm) -> UserReply = try {
            userCall(method, path, body) ?: return HttpReply(if (isUserPath(path)) 405 else 404)
        } catch (e: MalformedMessageException) {
            return HttpReply(400, UserProtocol.error(e.message.orEmpty()))
        }
        leading?.let { return UserProtocol.reply(call(it)) }
        val polled = if (method == "GET") UserProtocol.jobId(path.removePrefix("/submissions/")) else null
        if (polled != null) return poll(polled)
        val address = leader?.let(peerAddresses::get)
        if (!forwarded && address != null) {
            val reply = peers.ask(address, PeerRequest.ForwardUserRequest(method, path, body), FORWARD_MS).reply
            if (reply != null) return HttpReply(reply.status, reply.body, reply.retryAfterS)
        }
        return UserProtocol.unavailableHere("no way to the leader")
    }

    /** A poll that came to a follower: its leader is asked together with others. */
    private suspend fun poll(job: JobId): HttpReply {
        val reply = if (otherLeader() == null || batches.isLeaderUnreachable) null else batches.forwardPoll(job).replyOrNull()
        return reply?.let(UserProtocol::reply) ?: UserProtocol.unavailableHere("no way to the leader")
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
            return { it.submit(spec) }
        }
        val parts = path.removePrefix("/submissions/").split('/')
        val job = UserProtocol.jobId(parts[0]) ?: return { UserReply.NotFound }
        return when {
            parts.size == 1 && method == "GET" -> { term -> term.poll(job) }
            parts.size == 2 && parts[1] == "abort" && method == "POST" -> { term -> term.abort(job) }
            else -> null
        }
    }

    private suspend fun workerReport(body: ByteArray): HttpReply {
        // Right after an election the whole fleet comes at once; what needs no look at the report gets none.
        if (leading?.ready == false || leading == null && leader == null) return HttpReply(503)
        if (leading == null && batches.isLeaderUnreachable) return HttpReply(421, WorkerProtocol.redirect(leader))
        val report = try {
            services.processingTimes.measure(ProcessingStage.HEARTBEAT_DECODING) { WorkerProtocol.heartbeat(body) }
        } catch (e: MalformedMessageException) {
            log.error("a garbled report: {}", e.message)
            return HttpReply(400, UserProtocol.error(e.message.orEmpty()))
        }
        leading?.let { return reportToUs(it, report) }
        return when (val outcome = batches.forwardHeartbeat(report)) {
            is ForwardOutcome.Answered -> HttpReply(200, WorkerProtocol.answer(outcome.token, outcome.commands))
            ForwardOutcome.Unanswered -> HttpReply(503)
        }
    }

    private suspend fun reportToUs(mine: LeaderTerm, report: Heartbeat): HttpReply {
        distribution.followerFor(report.machine, reachableFollowers(), clocks.steadyMs())?.let {
            return HttpReply(421, WorkerProtocol.redirect(it))
        }
        val answer = mine.report(report)
        return when {
            answer != null -> HttpReply(200, WorkerProtocol.answer(answer.token, answer.commands))
            leading === mine -> HttpReply(503)
            else -> HttpReply(421, WorkerProtocol.redirect(leader.takeIf { it != settings.member }))
        }
    }

    /** The leader to whom a follower hands what it can't decide; null while there is none, or it is this node. */
    private fun otherLeader(): KnownLeader? =
        leader?.takeIf { leading == null && it != settings.member }?.let { KnownLeader(it, leaderTerm) }

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
        heard(to.member, to.term)
        return BatchResult.Answered(
            decisions.map { it.toDecision() },
            batch.polls.zip(statuses) { job, status -> status.toReply(job) },
        )
    }

    private suspend fun decide(request: PeerRequest.FollowerBatch): PeerReply {
        leading?.let { if (it.term.revision < request.term) depose(it.term, "${request.from} knows term ${request.term}") }
        val mine = leading?.takeIf { it.term.revision == request.term && it.ready }
            ?: return PeerReply(503, leader = leader, term = leaderTerm)
        peerHeardMs[request.from] = clocks.steadyMs()
        mine.directResults(request.deliveryResults)
        val reports = services.processingTimes.measure(ProcessingStage.BATCH_DECODING) { request.toHeartbeats() }
        if (reportsTo.size > MAX_MACHINES_KNOWN) reportsTo.clear()
        reports.forEach { reportsTo[it.machine] = request.from }
        val answer = mine.followerBatch(reports, request.polls)
        return PeerReply(
            status = if (answer == null) 503 else 200,
            leader = leader,
            term = leaderTerm,
            decisions = answer?.decisions?.map(HeartbeatDecisionMessage::of),
            statuses = answer?.statuses?.map(JobStatusMessage::of),
        )
    }

    /** Carries commands of the leader to workers; what they answer goes back with the next batches. */
    private fun deliver(request: PeerRequest.DeliverCommands): PeerReply {
        heard(request.from, request.term)
        val isFromLeader = leading == null && leader == request.from && leaderTerm == request.term
        if (isFromLeader) request.commands.forEach { command -> scope.launch { deliver(request.term, command) } }
        return PeerReply(if (isFromLeader) 200 else 503, leader = leader, term = leaderTerm)
    }

    private suspend fun deliver(term: Long, command: DeliveryMessage) {
        val report = services.workers.send(command.toCommand()).valueOrNull()
        if (report != null) batches.forwardDeliveryResult(DeliveryResult(term, command.id, report))
    }

    suspend fun peer(request: PeerRequest): PeerReply = when (request) {
        is PeerRequest.AnnounceLeader -> {
            heard(request.from, request.term)
            PeerReply(200, leader = leader, term = leaderTerm)
        }
        is PeerRequest.ImageCacheHints -> {
            if (imageCacheHints.size > MAX_IMAGES_TOLD) imageCacheHints.clear()
            imageCacheHints += request.toImageCaches()
            PeerReply(200, leader = leader, term = leaderTerm)
        }
        is PeerRequest.ForwardUserRequest -> user(request.method, request.path, request.body, forwarded = true)
            .let { PeerReply(it.status, it.body, it.retryAfterS, leader, leaderTerm) }
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

        /** An election takes one lease, its replay, and the leader's first word to its peers. */
        private const val ELECTION_LEASES = 3

        /** By then a leader that lives would have been heard, however slow its start. */
        private const val SILENT_LEASES = 3

        /** The work's times are logged once in so many report periods. */
        private const val WORK_LOG_REPORTS = 5

        /** Machines come and go; what was told of the present ones comes again soon. */
        private const val MAX_IMAGES_TOLD = 10_000
        private const val MAX_MACHINES_KNOWN = 10_000
    }
}
