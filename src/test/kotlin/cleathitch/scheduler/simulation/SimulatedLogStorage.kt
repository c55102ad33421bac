package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.LogKeys

/** Sends a leader's commits to the key-value store, and repeats each until the store responds or the term ends. */
class SimulatedLogStorage(private val cluster: SimulatedCluster, private val leader: SimulatedController) {
    private var headRevision = 0L
    private var inFlight: Commit? = null

    /** Begins a new term. Its first commit is applied only if the revision of the log's head is [headRevision]. */
    fun startTerm(headRevision: Long) {
        this.headRevision = headRevision
        inFlight = null
    }

    fun write(commit: Commit) {
        val term = leader.term
        inFlight = commit
        val archivesJobs = commit.changes.any { it.key.startsWith(LogKeys.FINISHED_JOBS_PREFIX) }
        if (!cluster.faultsEnded && archivesJobs && cluster.random.nextDouble() < cluster.faults.leaderKillsBeforeArchival) {
            val killAfterMs = cluster.random.nextLong(SimulatedCluster.LEASE_TTL_MS)
            cluster.events.schedule(killAfterMs) { if (leader.term == term && inFlight === commit) leader.kill() }
        } else {
            sendUntilAnswered(commit, term, headRevision)
        }
    }

    private fun isAwaiting(commit: Commit, term: Long) = leader.isLeadingIn(term) && inFlight === commit

    private fun sendUntilAnswered(commit: Commit, term: Long, expectedHead: Long) {
        if (!isAwaiting(commit, term)) return
        if (leader.canReachStore && !leader.isPaused) send(commit, term, expectedHead)
        cluster.events.schedule(RETRY_INTERVAL_MS) { sendUntilAnswered(commit, term, expectedHead) }
    }

    /** Sends a compare-and-swap. If it is late, it may be applied after its leader was deposed, and its response is lost. */
    private fun send(commit: Commit, term: Long, expectedHead: Long) {
        val isLate = !cluster.faultsEnded && cluster.random.nextDouble() < cluster.faults.lateCommits
        cluster.network.send(if (isLate) cluster.random.nextLong(2000, 12_000) else 0) {
            if (!isLate && cluster.store.isUnavailable) return@send
            val revision = cluster.store.compareAndSwap(term, expectedHead, commit)
            if (!isLate && !cluster.network.drawMessageLoss()) {
                cluster.events.schedule(cluster.storeDelayMs()) { if (isAwaiting(commit, term)) receiveResult(commit, revision) }
            }
        }
    }

    /** Handles the result of a compare-and-swap. [revision] is null if it was refused. */
    private fun receiveResult(commit: Commit, revision: Long?) {
        if (revision == null) return leader.stepDown()
        inFlight = null
        headRevision = revision
        leader.handle(Input.CommitSucceeded(commit.index, revision))
    }

    private companion object {
        const val RETRY_INTERVAL_MS = 300L
    }
}
