package cleathitch.loopback

import com.fasterxml.jackson.databind.JsonNode
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * A user that submits jobs with one task each and polls accepted jobs, each time at a random controller, until [close].
 * Job ids are numbered from [firstJob]. After [maxJobs] jobs the same submissions are repeated.
 *
 * Checks each response against the earlier ones: an accepted job must stay known, and a job that was done must stay done.
 */
class SimulatedUser(
    private val cluster: LoopbackCluster,
    private val random: Random,
    private val firstJob: Int = 0,
    private val maxJobs: Int = 400,
    private val pauseMs: Long = 100,
) : AutoCloseable {
    private val acceptedJobs = ConcurrentHashMap.newKeySet<String>()
    private val doneJobs = ConcurrentHashMap.newKeySet<String>()
    private val foundViolations = ConcurrentHashMap.newKeySet<String>()

    @Volatile
    private var isOpen = true
    private val requests = thread(isDaemon = true) { runRequests() }

    /** Jobs that a controller has confirmed as accepted. */
    val accepted: Set<String> get() = acceptedJobs

    /** Descriptions of the responses that contradict an earlier response. */
    val violations: Set<String> get() = foundViolations

    private fun runRequests() {
        var submitted = 0
        while (isOpen) {
            val id = "j-%06d".format(firstJob + submitted % maxJobs)
            if (request(randomNode(), "POST", "/submissions", id, cluster.submissionBody(id, tasks = 1)) != null) submitted++
            acceptedJobs.randomOrNull(random)?.let { pollOrNull(randomNode(), it) }
            Thread.sleep(pauseMs)
        }
    }

    private fun randomNode() = random.nextInt(LoopbackCluster.NODES)

    /** The response of [node] to a poll of the accepted job [id], or null if there is no successful response. */
    fun pollOrNull(node: Int, id: String) = request(node, "GET", "/submissions/$id", id)

    private fun request(node: Int, method: String, path: String, id: String, body: JsonNode? = null): ControllerReply? {
        // Read before the call: if another response reports the job as done only during the call, this one may have an earlier state.
        val wasDone = id in doneJobs
        val reply = LoopbackHttp.callOrNull(cluster.port(node), method, path, body) ?: return null
        if (reply.status == 404) foundViolations += "$id: n$node replied 404 to $method $path"
        if (!reply.isSuccess) return null
        if (wasDone && reply.jobState != "done") {
            foundViolations += "$id: n$node replied with the state ${reply.jobState} although the job was done"
        }
        if (reply.jobState == "done") doneJobs += id
        acceptedJobs += id
        return reply
    }

    override fun close() {
        isOpen = false
        requests.join()
    }
}
