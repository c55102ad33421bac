package cleathitch.protocol

import cleathitch.http.HttpReply
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Priority
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/** The messages between users and controllers. */
object UserProtocol {
    private val jobIdForm = Regex("j-[0-9]{1,18}")
    private const val MAX_TASKS = 100_000L
    private val taskCounts = 1..MAX_TASKS
    private const val MAX_NAME_LENGTH = 256
    private const val MAX_MACHINE_TYPES = 256

    /** Larger amounts are mistakes; below it, sums over all tasks stay exact enough. */
    private const val MAX_AMOUNT = 1e9

    private const val OK = 200
    private const val CREATED = 201
    private const val NOT_FOUND = 404
    private const val UNPROCESSABLE = 422
    private const val UNAVAILABLE = 503

    /** The job id that [text] is, or null if it isn't of the form `j-000412`. */
    fun jobId(text: String): JobId? = if (jobIdForm.matches(text)) JobId(text) else null

    /** Decodes a submitted job; throws [MalformedMessageException], whose message is for the user, if it isn't as the page says. */
    fun submission(body: ByteArray): JobSpec {
        val map = MessageCodec.decodeMap(body)
        // Read first: with several malformed fields, the response names the first that is read.
        val machineTypes = machineTypes(map)
        val spec = JobSpec(
            id = jobId(map.requiredText("nameId")) ?: throw MalformedMessageException("nameId isn't of the form j-000412"),
            className = name(map, "cuadrilla"),
            team = name(map, "ownerCrew"),
            kind = kind(map.requiredText("oficio")),
            priority = priority(map.requiredText("urgencia")),
            tasks = taskCount(map),
            cpus = amount(map, "vcpus"),
            gpus = amount(map, "gpus"),
            memoryGb = amount(map, "memoryGb"),
            image = name(map, "imagen"),
            imageGb = amount(map, "pullGb"),
            allowedTypes = machineTypes,
            zone = map.optionalText("comarca"),
            oneZone = map.requiredBoolean("oneZone"),
            spread = map.requiredBoolean("scatter"),
            spotAllowed = map.requiredBoolean("prestados"),
            estimatedRunS = amount(map, "aproxS"),
            checkpointIntervalS = amount(map, "hitoS"),
            checkpointWriteS = amount(map, "guardadoS"),
            deadlineS = deadlineS(map),
        )
        checkLimits(spec)
        return spec
    }

    private fun machineTypes(map: JsonNode): Set<String>? {
        if (map.optionalField("hornadas") == null) return null
        val types = map.requiredTexts("hornadas")
        if (types.size > MAX_MACHINE_TYPES || types.any { it.length > MAX_NAME_LENGTH }) {
            throw MalformedMessageException("hornadas is too long")
        }
        return types.toSet()
    }

    private fun kind(text: String) = when (text) {
        "array" -> JobKind.ARRAY
        "ensemble" -> JobKind.GANG
        "daemon" -> JobKind.SERVICE
        else -> throw MalformedMessageException("oficio is unknown")
    }

    private fun priority(text: String) = when (text) {
        "critical" -> Priority.PRODUCTION
        "high" -> Priority.HIGH
        "normal" -> Priority.NORMAL
        "idle" -> Priority.LOW
        else -> throw MalformedMessageException("urgencia is unknown")
    }

    private fun taskCount(map: JsonNode): Int {
        val count = map.requiredLong("tareas")
        if (count !in taskCounts) throw MalformedMessageException("tareas is out of range")
        return count.toInt()
    }

    private fun deadlineS(map: JsonNode): Double? {
        val seconds = map.optionalDouble("plazoS") ?: return null
        if (seconds <= 0 || seconds > MAX_AMOUNT) throw MalformedMessageException("plazoS is out of range")
        return seconds
    }

    private fun checkLimits(spec: JobSpec) {
        if (spec.zone != null && spec.zone.length > MAX_NAME_LENGTH) throw MalformedMessageException("comarca is too long")
        if (spec.cpus <= 0 || spec.memoryGb <= 0) throw MalformedMessageException("a task takes nothing of its machine")
    }

    /** The response for a user's request that the scheduler answered with [reply]. */
    fun reply(reply: UserReply): HttpReply = when (reply) {
        is UserReply.Accepted -> HttpReply(if (reply.known) OK else CREATED, MessageCodec.encode(jobState(reply.job, reply.state)))
        is UserReply.Cancelled -> HttpReply(OK, MessageCodec.encode(jobState(reply.job, reply.state)))
        is UserReply.Status -> HttpReply(OK, MessageCodec.encode(jobStatus(reply)))
        is UserReply.Unsatisfiable -> HttpReply(UNPROCESSABLE, error(reply.reason))
        UserReply.NotFound -> HttpReply(NOT_FOUND, error("no such job"))
        is UserReply.Unavailable -> HttpReply(UNAVAILABLE, error(reply.reason), reply.retryAfterS)
    }

    /**
     * The response of a controller that can't serve while another may. It closes the connection: a load balancer never moves an
     * open connection, and chooses again for a new one.
     */
    fun unavailableHere(reason: String): HttpReply {
        val unavailable = UserReply.Unavailable(reason)
        return HttpReply(UNAVAILABLE, error(reason), unavailable.retryAfterS, closesConnection = true)
    }

    /** Encodes [text] as the body of an error response. */
    fun error(text: String): ByteArray = MessageCodec.encode(MessageCodec.newMap().put("error", text))

    private fun jobState(job: JobId, state: JobState): ObjectNode =
        MessageCodec.newMap().put("nameId", job.text).put("estado", stateName(state))

    private fun jobStatus(status: UserReply.Status): ObjectNode =
        jobState(status.job, status.state).put("done", status.done).put("running", status.running)

    private fun stateName(state: JobState) = when (state) {
        JobState.QUEUED -> "pending"
        JobState.RUNNING -> "running"
        JobState.DONE -> "done"
        JobState.CANCELLED -> "withdrawn"
    }

    private fun name(map: JsonNode, field: String): String {
        val text = map.requiredText(field)
        if (text.isEmpty() || text.length > MAX_NAME_LENGTH) throw MalformedMessageException("$field is empty or too long")
        return text
    }

    private fun amount(map: JsonNode, field: String): Double {
        val value = map.requiredDouble(field)
        if (value < 0 || value > MAX_AMOUNT) throw MalformedMessageException("$field is out of range")
        return value
    }
}
