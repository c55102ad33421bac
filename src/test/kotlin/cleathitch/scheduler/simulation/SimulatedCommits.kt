package cleathitch.scheduler.simulation

import cleathitch.scheduler.api.Input
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.LogKeys

/** Carries a leader's commits to the key-value store, and repeats each until its answer arrives or the term ends. */
class SimulatedCommits(private val cluster: SimulatedCluster, private val leader: SimulatedController) {
    private var headRevision = 0L
    private var inFlight: Commit? = null

    /** A new term follows the head at [headRevision]. */
    fun begin(headRevision: Long) {
        this.headRevision = headRevision
        inFlight = null
    }

    fun write(commit: Commit) {
        val term = leader.term
        inFlight = commit
        val archives = commit.changes.any { it.key.startsWith(LogKeys.FINISHED_JOBS_PREFIX) }
        if (!cluster.isCalm && archives && cluster.random.nextDouble() < cluster.faults.killsBeforeArchive) {
            val killAfterMs = cluster.random.nextLong(SimulatedCluster.LEASE_TTL_MS)
            cluster.events.after(killAfterMs) { if (leader.term == term && inFlight === commit) leader.kill() }
        } else {
            attempt(commit, term, headRevision)
        }
    }

    private fun awaits(commit: Commit, term: Long) = leader.leadsIn(term) && inFlight === commit

    private fun attempt(commit: Commit, term: Long, expectedHead: Long) {
        if (!awaits(commit, term)) return
        if (leader.hasStore && !leader.isPaused) send(commit, term, expectedHead)
        cluster.events.after(RETRY_AFTER_MS) { attempt(commit, term, expectedHead) }
    }

    /** A late compare-and-swap is carried out after its leader may have given up, and gets no answer. */
    private fun send(commit: Commit, term: Long, expectedHead: Long) {
        val isLate = !cluster.isCalm && cluster.random.nextDouble() < cluster.faults.lateCommits
        cluster.network.send(if (isLate) cluster.random.nextLong(2000, 12_000) else 0) {
            if (!isLate && cluster.store.isOut) return@send
            val revision = cluster.store.compareAndSwap(term, expectedHead, commit)
            if (!isLate && !cluster.network.isLost()) {
                cluster.events.after(cluster.storeDelayMs()) { if (awaits(commit, term)) receiveResult(commit, revision) }
            }
        }
    }

    /** [revision] is null if the compare-and-swap was refused. */
    private fun receiveResult(commit: Commit, revision: Long?) {
        if (revision == null) return leader.resign()
        inFlight = null
        headRevision = revision
        leader.handle(Input.CommitSucceeded(commit.index, revision))
    }

    private companion object {
        const val RETRY_AFTER_MS = 300L
    }
}
