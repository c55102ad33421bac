package cleathitch.scheduler.simulation

import cleathitch.scheduler.Scheduler
import cleathitch.scheduler.api.Effect
import cleathitch.scheduler.api.HeartbeatDecision
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.RentalAnswer
import cleathitch.scheduler.api.SchedulerTimings
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.DecisionLog
import cleathitch.scheduler.log.Event
import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.ClockReading
import cleathitch.scheduler.model.Deployment
import cleathitch.scheduler.model.ExitReason
import cleathitch.scheduler.model.FencingToken
import cleathitch.scheduler.model.Heartbeat
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.MachineId
import cleathitch.scheduler.model.MachineType
import cleathitch.scheduler.model.Objective
import cleathitch.scheduler.model.Offer
import cleathitch.scheduler.model.Priority
import cleathitch.scheduler.model.RequestId
import cleathitch.scheduler.model.TaskId
import cleathitch.scheduler.model.TaskState
import cleathitch.scheduler.model.TaskStatus
import cleathitch.scheduler.model.Team
import cleathitch.scheduler.model.Term
import cleathitch.scheduler.model.WorkerCommand
import cleathitch.storage.LogCodec
import cleathitch.workers.ForwardOutcome
import cleathitch.workers.HeartbeatQueue
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * A stand-in for everything round the core: state service, cloud, workers, users and the nodes' own
 * elections, in simulated time and from one seed. After each step it checks the page's rules.
 */
class SimulatedCluster(
    seed: Long,
    private val weather: FaultSchedule,
    val deployment: Deployment = standard,
    private val maxMachines: Int = 24,
) {
    private class Step(val atMs: Long, val order: Long, val action: () -> Unit)

    val random = Random(seed)
    var nowMs = 0L
        private set
    var calm = false
    private var calmSinceMs = 0L
    private var steps = 0L
    private val queue = PriorityQueue<Step>(compareBy<Step>({ it.atMs }, { it.order }))
    val broken = ArrayList<String>()
    val trace = ArrayList<String>()

    private val timings = SchedulerTimings.of(deployment, weather.trimS)
    private val state = SimulatedKeyValueStore<Node>(TTL_MS) { nowMs }
    private val type = MachineType("m4", 4.0, 0.0, 16.0, 50.0, 1.0, 1.0, 0.4, 5.0, deployment.zones)

    fun after(ms: Long, action: () -> Unit) {
        queue += Step(nowMs + ms, steps++, action)
    }

    /** A message on its way: late, lost or doubled as the weather has it. */
    private fun send(heldMs: Long = 0, action: () -> Unit) {
        if (!calm && random.nextDouble() < weather.lost) return
        val delay = maxOf(0, heldMs) + if (!calm && random.nextDouble() < weather.held) random.nextLong(60_000) else random.nextLong(1, 20)
        after(delay, action)
        if (!calm && random.nextDouble() < weather.twice) after(delay + random.nextLong(30_000), action)
    }

    fun run(forMs: Long) {
        val end = nowMs + forMs
        while (queue.isNotEmpty() && queue.peek().atMs <= end && broken.isEmpty()) {
            val step = queue.poll()
            nowMs = step.atMs
            step.action()
            check()
        }
        nowMs = maxOf(nowMs, end)
    }

    // ---- nodes

    inner class Node(val name: String, private val drift: Double) {
        var scheduler: Scheduler? = null
        private var term = 0L
        private var head = 0L
        private var life = 0

        /** Until then the state service refuses this node alone. */
        var refusedUntilMs = 0L
        private val served get() = nowMs >= refusedUntilMs && !state.isOut

        /** Until then it does nothing, while its clocks run on; what comes meanwhile waits. */
        var standsUntilMs = 0L
        private var heldUntil = 0L
        private var lastRenewal = 0L

        /** Reports of workers that came here while another node leads. */
        private var forwarding = HeartbeatQueue(FORWARD_WITHIN_MS)
        private var openBatch: HeartbeatQueue.Batch? = null

        fun steadyMs() = (nowMs * drift).toLong() + 1_000_000
        private fun clockReading() = ClockReading(steadyMs(), nowMs)

        fun live() {
            val mine = life
            fun loop() {
                if (life != mine) return
                if (nowMs < standsUntilMs) return after(standsUntilMs - nowMs, ::loop)
                state.expireLease()
                if (scheduler == null && state.isLeaderless && served) elect()
                scheduler?.let { if (nowMs - lastRenewal >= TTL_MS / 4) renew() }
                take(Input.Tick)
                forwardReports()
                after(200, ::loop)
            }
            after(random.nextLong(200), ::loop)
        }

        fun kill(awayMs: Long? = null) {
            scheduler = null
            life++
            forwarding = HeartbeatQueue(FORWARD_WITHIN_MS)
            openBatch = null
            if (awayMs != null) return after(awayMs) { live() }
            after(if (weather.quick) random.nextLong(10, 400) else random.nextLong(200, 4000)) { live() }
            if (weather.quick && random.nextBoolean()) after(random.nextLong(TTL_MS)) { leader?.let { if (!calm) it.kill() } }
        }

        private fun elect() {
            term = state.elect(this)
            head = state.headRevision
            heldUntil = steadyMs() + TTL_MS * 999 / 1000
            lastRenewal = nowMs
            inFlight = null
            scheduler = Scheduler(deployment, timings, Term(term), state.snapshot(), clockReading(), LogCodec)
            trace += "${nowMs / 1000.0} $name leads in term $term"
            take(Input.LeaseRenewed(heldUntil))
            take(Input.MachineTypesListed(listOf(type)))
        }

        private fun renew() {
            val sent = steadyMs()
            lastRenewal = nowMs
            if (!served) return
            val mine = term
            after(random.nextLong(1, 10)) {
                val held = state.renew(mine)
                after(random.nextLong(1, 10)) {
                    if (term == mine && scheduler != null) {
                        if (held) take(Input.LeaseRenewed(sent + TTL_MS * 999 / 1000)) else resign()
                    }
                }
            }
        }

        fun resign() {
            scheduler = null
        }

        fun take(command: Input) {
            if (nowMs < standsUntilMs) {
                val mine = life
                return after(standsUntilMs - nowMs) { if (life == mine) take(command) }
            }
            val scheduler = scheduler ?: return
            scheduler.handle(listOf(command), clockReading()).forEach(::perform)
        }

        /** A worker's report reaches this node, which answers it as leader or through the leader. */
        fun takeReport(report: Heartbeat, answer: (FencingToken, List<WorkerCommand>) -> Unit) {
            if (nowMs < standsUntilMs) {
                val mine = life
                return after(standsUntilMs - nowMs) { if (life == mine) takeReport(report, answer) }
            }
            if (scheduler == null) {
                return forwarding.add(report, steadyMs()) { if (it is ForwardOutcome.Answered) answer(it.token, it.commands) }
            }
            val request = RequestId(++requests)
            reportAnswers[request] = { answer(it.token, it.commands) }
            take(Input.HeartbeatReceived(request, report))
        }

        private fun forwardReports() {
            if (scheduler != null || openBatch != null) return
            // It may as well take a deposed leader for the present one.
            val leader = nodes.filter { it.scheduler != null }.randomOrNull(random) ?: return forwarding.refuseAll()
            val batch = forwarding.nextBatch(leader.term, steadyMs())
            if (batch.isEmpty) return
            openBatch = batch
            after(maxOf(1, forwarding.timeLeftMs(batch, steadyMs()))) { close(batch) { forwarding.unanswered(batch) } }
            val mine = life
            send {
                leader.decide(batch) { decisions ->
                    send {
                        if (life ==
                            mine
                        ) {
                            close(batch) { forwarding.decided(batch, decisions, this@SimulatedCluster.leader?.term, steadyMs()) }
                        }
                    }
                }
            }
        }

        /** Only the first end of a batch counts, and a node that stands still sees it when it goes on. */
        private fun close(batch: HeartbeatQueue.Batch, action: () -> Unit) {
            if (openBatch !== batch) return
            if (nowMs < standsUntilMs) return after(standsUntilMs - nowMs) { close(batch, action) }
            openBatch = null
            action()
        }

        private fun decide(batch: HeartbeatQueue.Batch, answer: (List<HeartbeatDecision>) -> Unit) {
            if (scheduler == null || term != batch.term) return
            val request = RequestId(++requests)
            batchAnswers[request] = { answer(it.decisions) }
            take(Input.FollowerBatchReceived(request, batch.reports))
        }

        private var inFlight: Commit? = null

        private fun commit(commit: Commit) {
            val mine = term
            val expected = head
            fun attempt() {
                if (term != mine || scheduler == null || inFlight !== commit) return
                if (served && nowMs >= standsUntilMs) {
                    val late = !calm && random.nextDouble() < weather.lateWrites
                    send(if (late) random.nextLong(2000, 12_000) else 0) {
                        if (!late && state.isOut) return@send
                        val result = state.transact(mine, expected, commit)
                        val refused = result == null
                        if (!late && (calm || random.nextDouble() >= weather.lost)) {
                            after(random.nextLong(1, 10)) {
                                if (term == mine && scheduler != null && inFlight === commit) {
                                    if (refused) {
                                        resign()
                                    } else {
                                        inFlight = null
                                        head = result!!
                                        take(Input.CommitSucceeded(commit.seq, result))
                                    }
                                }
                            }
                        }
                    }
                }
                after(300, ::attempt)
            }
            inFlight = commit
            val archives = commit.changes.any { it.key.startsWith(DecisionLog.FINALS_PREFIX) }
            if (!calm && archives && random.nextDouble() < weather.endsAtArchive) {
                after(random.nextLong(TTL_MS)) { if (term == mine && inFlight === commit) kill() }
            } else {
                attempt()
            }
        }

        private fun direct(id: MachineId, deliver: (Worker) -> Heartbeat?) {
            val mine = term
            var answered = false
            send {
                machines[id]?.let(deliver)?.let { report ->
                    send {
                        answered = true
                        take(Input.ProbeAnswered(report))
                    }
                }
            }
            after((deployment.reportS * 1000).toLong()) { if (!answered && term == mine) take(Input.DirectCallUnanswered(id)) }
        }

        private fun perform(effect: Effect) {
            when (effect) {
                is Effect.Answer -> answers.remove(effect.request)?.invoke(effect.reply)
                is Effect.AnswerHeartbeat -> reportAnswers.remove(effect.request)?.invoke(effect)
                is Effect.RefuseHeartbeat -> reportAnswers.remove(effect.request)
                is Effect.AnswerFollower -> batchAnswers.remove(effect.request)?.invoke(effect)
                is Effect.Write -> commit(effect.commit)
                is Effect.SendCommands -> direct(effect.machine) { it.direct(effect) }
                is Effect.Probe -> direct(effect.machine) { it.inspected() }
                is Effect.Rent -> send {
                    val names = rent(effect.asked)
                    send { take(Input.RentalCompleted(effect.asked.request, RentalAnswer.Rented(names))) }
                }
                is Effect.TerminateMachines -> send {
                    effect.machines.forEach { machines.remove(it) }
                    send { take(Input.MachinesTerminated(effect.machines)) }
                }
                is Effect.ShareImageCacheHints -> Unit
                is Effect.StepDown -> resign()
                is Effect.Log -> trace += "${nowMs / 1000.0} $name ${effect.text}"
            }
        }
    }

    val nodes = List(3) { Node("node-$it", 1 + (it - 1) * 0.0005) }
    private var requests = 0L
    private val answers = HashMap<RequestId, (UserReply) -> Unit>()
    private val reportAnswers = HashMap<RequestId, (Effect.AnswerHeartbeat) -> Unit>()
    private val batchAnswers = HashMap<RequestId, (Effect.AnswerFollower) -> Unit>()
    val leader: Node? get() = nodes.filter { it.scheduler != null }.maxByOrNull { if (it === state.leader) 1 else 0 }

    // ---- machines

    private class Running(val id: AttemptId, var state: TaskState, val imageAtMs: Long, var endsAtMs: Long?) {
        var exitReason: ExitReason? = null
    }

    inner class Worker(val id: MachineId, private val offer: Offer) {
        private var incarnation = 1L
        private var seq = 0L
        private var token = 0L
        private val tasks = LinkedHashMap<AttemptId, Running>()
        private var leaseFromMs = nowMs
        private var node = random.nextInt(nodes.size)
        private var hangsUntilMs = 0L

        /** Until then its zone is cut off: what it sends and what is sent to it is held. */
        private val heldMs get() = (partitionedZones[zone] ?: 0L) - nowMs

        /** Until then its reports arrive, while answers and orders don't reach it. */
        var deafUntilMs = 0L
        private val missesReplies get() = nowMs < deafUntilMs

        /** Until then it reaches no node, while direct orders reach it. */
        var muteUntilMs = 0L
        val cpusUsed get() = tasks.values.filter { it.state != TaskState.EXITED }.sumOf { submitted.getValue(it.id.task.job).spec.cpus }
        val works get() = nowMs >= hangsUntilMs && !missesReplies && nowMs >= muteUntilMs
        fun has(task: TaskId) = tasks.values.any { it.id.task == task && it.state != TaskState.EXITED }
        fun cpusOf(job: JobId) =
            tasks.values.count { it.id.task.job == job && it.state != TaskState.EXITED } * submitted.getValue(job).spec.cpus
        fun runsOf(job: JobId) = tasks.keys.any { it.task.job == job }
        val zone get() = offer.zone
        val spot get() = offer.spot

        /** A task counts as on the machine from when it has its image until it exits. */
        fun onMachine() = if (nowMs - leaseFromMs > deployment.leaseS * 1000) {
            emptyList() // killed with its lease, also when it hangs and can't do so itself
        } else {
            tasks.values.filter { it.imageAtMs <= nowMs && it.state != TaskState.EXITED }.map { it.id.task }
        }

        fun live() {
            if (machines[id] !== this) return
            if (nowMs >= hangsUntilMs) {
                advance()
                sendReport()
            }
            after((deployment.reportS * 1000 * random.nextDouble(0.75, 1.25)).toLong(), ::live)
        }

        fun hang(maxMs: Long = 40_000) {
            hangsUntilMs = nowMs + random.nextLong(maxMs)
        }

        /** Starts anew within a fraction of a second: everything on it is gone, its highest version too. */
        fun bounce() {
            tasks.clear()
            incarnation++
            seq = 0
            token = 0
            leaseFromMs = nowMs
            sendReport()
        }

        private fun advance() {
            if (nowMs - leaseFromMs > deployment.leaseS * 1000) {
                tasks.clear()
                incarnation++
                leaseFromMs = nowMs
            }
            for (task in tasks.values) {
                if (task.state == TaskState.FETCHING && task.imageAtMs <= nowMs) task.state = TaskState.RUNNING
                val ends = task.endsAtMs
                if (task.state == TaskState.RUNNING && ends != null && ends <= nowMs) {
                    task.state = TaskState.EXITED
                    task.exitReason = ExitReason.DONE
                    if (results.add(task.id.task)) ended(task.id.task.job)
                }
            }
        }

        private fun report(): Heartbeat {
            seq++
            return Heartbeat(
                id, "x", offer.type, offer.zone, offer.spot, incarnation, seq, FencingToken(token), null,
                tasks.values.map { TaskStatus(it.id, it.state, it.exitReason) },
            )
        }

        private fun sendReport() {
            val report = report()
            if (nowMs < muteUntilMs) return
            val sentMs = nowMs
            val target = nodes[node]
            var answered = false
            if (!calm && random.nextDouble() < weather.copied) {
                // Whoever leads by then may get it, and nobody waits for the answer.
                after(random.nextLong(1000, (deployment.leaseS * 2000).toLong())) {
                    leader?.take(Input.HeartbeatReceived(RequestId(++requests), report))
                }
            }
            send(heldMs) {
                target.takeReport(report) { newToken, commands ->
                    send(heldMs) {
                        if (!missesReplies &&
                            machines[id] === this &&
                            report.incarnation == incarnation &&
                            nowMs - sentMs < 4000 &&
                            !answered &&
                            nowMs >= hangsUntilMs
                        ) {
                            answered = true
                            if (newToken.packed >= token) {
                                advance()
                                token = newToken.packed
                                leaseFromMs = maxOf(leaseFromMs, sentMs)
                                execute(commands)
                            }
                        }
                    }
                }
            }
            after(1000) { if (!answered) node = random.nextInt(nodes.size) }
        }

        fun direct(push: Effect.SendCommands): Heartbeat? {
            if (missesReplies) return null
            val waitMs = maxOf(hangsUntilMs - nowMs, heldMs)
            if (waitMs > 0) {
                // A hanging machine, or one cut off, takes up what waited for it when it goes on.
                after(waitMs + 1) { machines[id]?.direct(push) }
                return null
            }
            advance()
            if (push.token.packed >= token && push.incarnation == incarnation) {
                token = push.token.packed
                execute(push.commands)
            }
            return report()
        }

        fun inspected(): Heartbeat? {
            if (missesReplies || nowMs < hangsUntilMs || heldMs > 0) return null
            advance()
            return report()
        }

        private fun execute(commands: List<WorkerCommand>) {
            for (order in commands) {
                when (order) {
                    is WorkerCommand.Start -> if (order.attempt !in tasks) {
                        val job = submitted.getValue(order.attempt.task.job)
                        val image = nowMs + random.nextLong(0, 4000)
                        val known = order.attempt.task in results
                        val runs = if (job.spec.kind == JobKind.SERVICE) {
                            null
                        } else if (known) {
                            0
                        } else {
                            if (weather.shortTasks) random.nextLong(100, 1500) else random.nextLong(2000, 15_000)
                        }
                        tasks[order.attempt] = Running(order.attempt, TaskState.FETCHING, image, runs?.let { image + it })
                        started(order.attempt.task, this)
                    }
                    is WorkerCommand.Stop -> tasks[order.attempt]?.let {
                        if (it.state != TaskState.EXITED) {
                            it.state = TaskState.EXITED
                            it.exitReason = ExitReason.STOPPED
                        }
                    }
                    is WorkerCommand.Forget -> tasks[order.attempt]?.let { if (it.state == TaskState.EXITED) tasks.remove(order.attempt) }
                }
            }
        }
    }

    val machines = LinkedHashMap<MachineId, Worker>()
    private val partitionedZones = HashMap<String, Long>()
    private val rentals = HashMap<String, List<MachineId>>()
    private var machineCount = 0

    private fun rent(asked: Event.RentalRequested): List<MachineId> = rentals.getOrPut(asked.request) {
        val count = minOf(asked.count, maxMachines - machines.size).coerceAtLeast(0)
        List(count) {
            val id = MachineId("vm-%06d".format(machineCount++))
            val worker = Worker(id, asked.offer)
            machines[id] = worker
            after(random.nextLong(1000, 5000)) { worker.live() }
            id
        }
    }

    // ---- users

    class Known(val spec: JobSpec) {
        var accepted = false
        var cancelledToldMs: Long? = null
        var doneTold = false
        var abortAsked = false
        var lastAnswerMs = 0L
    }

    val submitted = LinkedHashMap<JobId, Known>()
    private val results = HashSet<TaskId>()

    /** When the first task of each job was given to a machine. */
    val firstStartMs = HashMap<JobId, Long>()

    fun submit(spec: JobSpec) {
        val known = submitted.getOrPut(spec.id) { Known(spec) }
        fun ask() {
            if (known.accepted) return
            request(known, { Input.Submit(it, spec) })
            after(1500, ::ask)
        }
        ask()
        fun poll() {
            if (known.accepted) request(known, { Input.Poll(it, spec.id) })
            after(5000, ::poll)
        }
        poll()
    }

    fun abort(id: JobId) {
        val known = submitted.getValue(id)
        known.abortAsked = true
        fun ask() {
            if (known.cancelledToldMs != null || known.doneTold) return
            if (known.accepted) request(known, { Input.Cancel(it, id) })
            after(1500, ::ask)
        }
        ask()
    }

    private fun ended(id: JobId) {
        val known = submitted.getValue(id)
        if ((0 until known.spec.tasks).any { TaskId(id, it) !in results }) return
        // What is told in the moments round an end is what a successor may deny.
        if (weather.endsAtArchive > 0) repeat(40) { after(random.nextLong(4 * TTL_MS)) { request(known, { Input.Poll(it, id) }) } }
        if (random.nextDouble() < weather.cancelAtEnd) after(random.nextLong(200)) { abort(id) }
    }

    /** Several jobs that run are called off at once, and the machines of some hang just then. */
    private fun cancelSome(hang: Boolean) {
        val running = submitted.values.filter { known -> !known.abortAsked && machines.values.any { it.runsOf(known.spec.id) } }
        for (known in running.shuffled(random).take(4)) {
            if (hang) machines.values.filter { it.runsOf(known.spec.id) }.forEach { it.hang(maxMs = (deployment.cancelS * 1500).toLong()) }
            abort(known.spec.id)
        }
    }

    /** Repeated submissions, cancellations of what is done, and jobs that can't run. */
    private fun oddRequests() {
        submitted.values.filter { it.accepted }.randomOrNull(random)?.let { known -> request(known) { Input.Submit(it, known.spec) } }
        submitted.values.filter { it.doneTold }.randomOrNull(random)?.let { known -> request(known) { Input.Cancel(it, known.spec.id) } }
        val good = job(900_000 + random.nextInt(100_000))
        val odd =
            listOf(
                good.copy(team = "green"),
                good.copy(cpus = 99.0),
                good.copy(allowedTypes = setOf("m9")),
                good.copy(zone = "c"),
                good.copy(kind = JobKind.SERVICE, tasks = 7),
            )
        val node = nodes.filter { it.scheduler != null }.randomOrNull(random) ?: return
        val request = RequestId(++requests)
        answers[request] =
            { if (it !is UserReply.Unsatisfiable && it !is UserReply.Unavailable) broken += "accepted though it can't run: $it" }
        node.take(Input.Submit(request, odd.random(random)))
    }

    private fun request(known: Known, command: (RequestId) -> Input) {
        val node = nodes.filter { it.scheduler != null }.randomOrNull(random) ?: return
        val request = RequestId(++requests)
        val acceptedBefore = known.accepted
        val cancelledBefore = known.cancelledToldMs != null
        val doneBefore = known.doneTold
        answers[request] = { reply -> hear(known, reply, acceptedBefore, cancelledBefore, doneBefore) }
        after(random.nextLong(1, 10)) { node.take(command(request)) }
    }

    private fun hear(known: Known, reply: UserReply, accepted: Boolean, cancelled: Boolean, done: Boolean) {
        if (reply !is UserReply.Unavailable) known.lastAnswerMs = nowMs
        val state = when (reply) {
            is UserReply.Accepted -> reply.state.also { known.accepted = true }
            is UserReply.Status -> reply.state
            is UserReply.Cancelled -> reply.state
            UserReply.NotFound -> {
                if (accepted) broken += "forgotten: ${known.spec.id}"
                return
            }
            is UserReply.Unsatisfiable -> {
                broken += "forgotten: ${known.spec.id} can never run: ${reply.reason}"
                return
            }
            is UserReply.Unavailable -> return
        }
        if (cancelled && state != JobState.CANCELLED) broken += "went_back: ${known.spec.id} was cancelled, now $state"
        if (done && state != JobState.DONE) broken += "went_back: ${known.spec.id} was done, now $state"
        if (state == JobState.CANCELLED) {
            if (!known.abortAsked) broken += "went_back: ${known.spec.id} cancelled by nobody"
            if (known.cancelledToldMs == null) known.cancelledToldMs = nowMs
        }
        if (state == JobState.DONE) {
            known.doneTold = true
            val missing = (0 until known.spec.tasks).count { TaskId(known.spec.id, it) !in results }
            if (missing > 0) broken += "not_done: ${known.spec.id} lacks $missing"
        }
    }

    // ---- the rules

    private fun started(task: TaskId, on: Worker) {
        val spec = submitted.getValue(task.job).spec
        firstStartMs.putIfAbsent(task.job, nowMs)
        if (on.spot && !spec.spotAllowed) broken += "wrong_place: $task on a spot machine"
        if (spec.zone != null && on.zone != spec.zone) broken += "wrong_place: $task in ${on.zone}"
    }

    private fun check() {
        val places = HashMap<TaskId, Worker>()
        val cpus = HashMap<String, Double>()
        val zones = HashMap<JobId, HashMap<String, Int>>()
        for (worker in machines.values) {
            for (task in worker.onMachine()) {
                val known = submitted.getValue(task.job)
                places.put(task, worker)?.let { broken += "ran_twice: $task on ${it.id} and ${worker.id}" }
                cpus.merge(known.spec.team, known.spec.cpus, Double::plus)
                zones.getOrPut(task.job) { HashMap() }.merge(worker.zone, 1, Int::plus)
                known.cancelledToldMs?.let {
                    if (nowMs - it > deployment.cancelS * 1000) broken += "ran_cancelled: $task on ${worker.id}"
                }
            }
        }
        for ((team, used) in cpus) {
            deployment.teams.getValue(team).maxCpus?.let { if (used > it + 1e-6) broken += "quota: $team uses $used of $it" }
        }
        for ((job, byZone) in zones) {
            val spec = submitted.getValue(job).spec
            if (spec.oneZone && byZone.size > 1) broken += "wrong_place: $job in ${byZone.keys}"
            if (byZone.values.any { it > spec.maxPerZone }) broken += "wrong_place: $job spread as $byZone"
        }
        if (calm && nowMs - lookedForWaitMs >= 1000) {
            lookedForWaitMs = nowMs
            lookForWaits()
        }
        if (calm) {
            submitted.values.firstOrNull { it.accepted && nowMs - maxOf(it.lastAnswerMs, calmSinceMs) > FORGOTTEN_MS }
                ?.let { broken += "forgotten: nothing is said of ${it.spec.id}" }
        }
        if (broken.isNotEmpty()) trace += "${nowMs / 1000.0} BROKEN $broken"
    }

    private var lookedForWaitMs = 0L
    private val waitSinceMs = HashMap<JobId, Long>()

    /** With troubles over, no job waits for long while a machine that fits has room and its team is under its limit. */
    private fun lookForWaits() {
        for (known in submitted.values) {
            val spec = known.spec
            val ended = known.abortAsked || known.doneTold || !known.accepted
            val waits =
                !ended &&
                    (0 until spec.tasks).any { i ->
                        TaskId(spec.id, i).let { task ->
                            task !in results &&
                                machines.values.none { it.has(task) }
                        }
                    }
            val zones = machines.values.filter { it.runsOf(spec.id) }.groupingBy { it.zone }.eachCount()
            val room = machines.values.any { machine ->
                machine.works &&
                    machine.cpusUsed + spec.cpus <= type.cpus &&
                    (spec.spotAllowed || !machine.spot) &&
                    (spec.zone == null || machine.zone == spec.zone) &&
                    (!spec.oneZone || zones.keys.all { it == machine.zone }) &&
                    (zones[machine.zone] ?: 0) < spec.maxPerZone
            }
            val used = machines.values.sumOf { machine ->
                submitted.values.filter { it.spec.team == spec.team }.sumOf { machine.cpusOf(it.spec.id) }
            }
            val allowed = deployment.teams.getValue(spec.team).maxCpus?.let { used + spec.cpus <= it } ?: true
            if (!waits || !room || !allowed) waitSinceMs.remove(spec.id) else waitSinceMs.putIfAbsent(spec.id, nowMs)
            if (nowMs - (waitSinceMs[spec.id] ?: nowMs) >= WAIT_MS) broken += "left waiting: ${spec.id} though a machine has room"
        }
    }

    // ---- a day

    fun begin() {
        nodes.forEach { it.live() }
        fun now(meanS: Double, action: () -> Unit) {
            if (meanS <= 0) return
            fun again() {
                if (!calm) action()
                after((meanS * 1000 * random.nextDouble(0.3, 1.7)).toLong(), ::again)
            }
            after((meanS * 1000).toLong(), ::again)
        }
        now(weather.killS) { leader?.kill() }
        now(weather.cutS) {
            leader?.let { node ->
                node.refusedUntilMs = nowMs + random.nextLong(1000, 30_000)
            }
        }
        now(weather.dieS) { machines.keys.randomOrNull(random)?.let(machines::remove) }
        now(weather.deafS) { machines.values.randomOrNull(random)?.let { it.deafUntilMs = Long.MAX_VALUE } }
        now(weather.bounceS) { machines.values.randomOrNull(random)?.bounce() }
        now(weather.rackS) { machines.keys.shuffled(random).take(machines.size / 4).forEach(machines::remove) }
        now(weather.zoneS) { partitionedZones[deployment.zones.random(random)] = nowMs + random.nextLong(5_000, 60_000) }
        now(weather.standS) {
            val node = if (random.nextBoolean()) leader ?: nodes.random(random) else nodes.random(random)
            node.standsUntilMs = nowMs + random.nextLong(1000, if (random.nextInt(4) == 0) 50_000 else 6000)
        }
        now(weather.outageS) { state.outage(random.nextLong(500, if (random.nextInt(4) == 0) 50_000 else 8000)) }
        now(weather.muteS) {
            machines.values.shuffled(random).take(1 + machines.size / 3).forEach {
                it.muteUntilMs =
                    nowMs + random.nextLong(60_000)
            }
        }
        now(weather.deafManyS) {
            machines.values.shuffled(random).take(1 + machines.size / 3).forEach {
                it.deafUntilMs =
                    nowMs + random.nextLong(60_000)
            }
        }
        now(weather.cancelNowS) { cancelSome(hang = true) }
        now(weather.oddS, ::oddRequests)
        now(weather.awayS) {
            val awayMs = random.nextLong((deployment.leaseS * 1300).toLong())
            nodes.forEach { it.kill(awayMs + random.nextLong(2000)) }
        }
        if (weather.gapAtS > 0) after((weather.gapAtS * 1000).toLong(), ::gap)
        now(weather.hangS) { machines.values.randomOrNull(random)?.hang() }
    }

    private fun gap() {
        val old = leader ?: return after(200, ::gap)
        old.refusedUntilMs = nowMs + 14_000
        fun succeeded() {
            if (leader == null || state.leader === old || state.leader?.scheduler == null) return after(50, ::succeeded)
            cancelSome(hang = random.nextBoolean())
            after(random.nextLong(100, 1500)) { state.outage((deployment.cancelS * 1200).toLong()) }
        }
        succeeded()
    }

    /** The weather turns calm: from here on everything must come to its end. */
    fun calmDown() {
        calm = true
        calmSinceMs = nowMs
        nodes.forEach { it.refusedUntilMs = 0 }
        state.endOutage()
        machines.values.forEach { machine ->
            machine.muteUntilMs = 0
            if (machine.deafUntilMs != Long.MAX_VALUE) machine.deafUntilMs = 0
        }
        partitionedZones.clear()
    }

    companion object {
        private const val TTL_MS = 3000L
        private const val FORWARD_WITHIN_MS = 3000L

        /** An accepted job without any answer for so long is forgotten. */
        private const val FORGOTTEN_MS = 75_000L

        /** No job waits for so long beside a machine with room. */
        private const val WAIT_MS = 90_000L

        val standard = Deployment(
            zones = listOf("a", "b"),
            teams = mapOf("red" to Team("red", 8.0, 12.0, 0.0, null), "blue" to Team("blue", 0.0, null, 0.0, null)),
            objectives = listOf(Objective.Wait("web", 1.0, 0.9), Objective.Finished("batch", 60.0, 0.9)),
            reportS = 3.0, leaseS = 34.0, cancelS = 64.0,
            stateRps = 100.0, stateWriteRps = 40.0, stateValueBytes = 16_384, stateTxnOps = 32,
            cloudRps = 4.0, listLagS = 4.0, nodes = 3,
        )

        fun job(number: Int, kind: JobKind = JobKind.ARRAY, tasks: Int = 3, team: String = "red") = JobSpec(
            id = JobId("j-%06d".format(number)), className = if (kind == JobKind.SERVICE) "web" else "batch", team = team,
            kind = kind, priority = if (kind == JobKind.SERVICE) Priority.PRODUCTION else Priority.NORMAL, tasks = tasks,
            cpus = 2.0, gpus = 0.0, memoryGb = 2.0, image = "img", imageGb = 1.0, spotAllowed = kind != JobKind.SERVICE,
            estimatedRunS = 10.0,
        )
    }
}
