package cleathitch.protocol

import cleathitch.http.HttpResponse
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
    private val jobIdPattern = Regex("j-[0-9]{1,18}")
    private const val MAX_TASKS = 100_000L
    private val taskCountRange = 1..MAX_TASKS
    private const val MAX_MACHINE_TYPES = 256

    /** Larger amounts are rejected as mistakes. Up to this bound, sums over all tasks are precise enough in floating point. */
    private const val MAX_AMOUNT = 1e9

    private const val OK = 200
    private const val CREATED = 201
    private const val NOT_FOUND = 404
    private const val UNPROCESSABLE = 422
    private const val UNAVAILABLE = 503

    /** Parses a job id; null if [text] isn't of the form `j-000412`. */
    fun jobId(text: String): JobId? = if (jobIdPattern.matches(text)) JobId(text) else null

    /**
     * Decodes a submitted job; throws [MalformedMessageException] if it violates the protocol. The exception's message is sent to
     * the user.
     */
    fun submission(body: ByteArray): JobSpec {
        val map = MessageCodec.decodeMap(body)
        // Read before all other fields: if several are malformed, the error response names the one that is read first.
        val machineTypes = machineTypes(map)
        val spec = JobSpec(
            id = jobId(map.requiredText("nameId")) ?: throw MalformedMessageException(
                "nameId must be of the form j-000412, but is ${map.requiredText("nameId").take(MAX_QUOTED_LENGTH)}",
            ),
            className = map.requiredName("cuadrilla"),
            team = map.requiredName("ownerCrew"),
            kind = kind(map.requiredText("oficio")),
            priority = priority(map.requiredText("urgencia")),
            tasks = taskCount(map),
            cpus = requiredAmount(map, "vcpus"),
            gpus = requiredAmount(map, "gpus"),
            memoryGb = requiredAmount(map, "memoryGb"),
            image = map.requiredName("imagen"),
            imageGb = requiredAmount(map, "pullGb"),
            allowedTypes = machineTypes,
            zone = map.optionalText("comarca"),
            oneZone = map.requiredBoolean("oneZone"),
            spread = map.requiredBoolean("scatter"),
            spotAllowed = map.requiredBoolean("prestados"),
            estimatedRunS = requiredAmount(map, "aproxS"),
            checkpointIntervalS = requiredAmount(map, "hitoS"),
            checkpointWriteS = requiredAmount(map, "guardadoS"),
            deadlineS = deadlineS(map),
        )
        checkLimits(spec)
        return spec
    }

    private fun machineTypes(map: JsonNode): Set<String>? {
        if (map.optionalField("hornadas") == null) return null
        val types = map.requiredTexts("hornadas")
        if (types.size > MAX_MACHINE_TYPES || types.any { it.length > MAX_NAME_LENGTH }) {
            throw MalformedMessageException(
                "hornadas must have at most $MAX_MACHINE_TYPES items of at most $MAX_NAME_LENGTH characters, but has ${types.size} items",
            )
        }
        return types.toSet()
    }

    private fun kind(text: String) = when (text) {
        "array" -> JobKind.ARRAY
        "ensemble" -> JobKind.GANG
        "daemon" -> JobKind.SERVICE
        else -> throw MalformedMessageException("oficio has the unknown value ${text.take(MAX_QUOTED_LENGTH)}")
    }

    private fun priority(text: String) = when (text) {
        "critical" -> Priority.PRODUCTION
        "high" -> Priority.HIGH
        "normal" -> Priority.NORMAL
        "idle" -> Priority.LOW
        else -> throw MalformedMessageException("urgencia has the unknown value ${text.take(MAX_QUOTED_LENGTH)}")
    }

    private fun taskCount(map: JsonNode): Int {
        val count = map.requiredLong("tareas")
        if (count !in taskCountRange) throw MalformedMessageException("tareas must be from 1 to $MAX_TASKS, but is $count")
        return count.toInt()
    }

    private fun deadlineS(map: JsonNode): Double? {
        val seconds = map.optionalDouble("plazoS") ?: return null
        if (seconds <= 0 || seconds > MAX_AMOUNT) {
            throw MalformedMessageException("plazoS must be greater than 0 and at most $MAX_AMOUNT, but is $seconds")
        }
        return seconds
    }

    private fun checkLimits(spec: JobSpec) {
        if (spec.zone != null && spec.zone.length > MAX_NAME_LENGTH) {
            throw MalformedMessageException("comarca must have at most $MAX_NAME_LENGTH characters, but has ${spec.zone.length}")
        }
        if (spec.cpus <= 0 || spec.memoryGb <= 0) {
            throw MalformedMessageException("vcpus and memoryGb must be greater than 0, but are ${spec.cpus} and ${spec.memoryGb}")
        }
    }

    /** Encodes [reply], the scheduler's reply to a user's request, as an HTTP response. */
    fun reply(reply: UserReply): HttpResponse = when (reply) {
        is UserReply.Accepted -> HttpResponse(if (reply.known) OK else CREATED, MessageCodec.encode(jobState(reply.job, reply.state)))
        is UserReply.Cancelled -> HttpResponse(OK, MessageCodec.encode(jobState(reply.job, reply.state)))
        is UserReply.Status -> HttpResponse(OK, MessageCodec.encode(jobStatus(reply)))
        is UserReply.Unsatisfiable -> HttpResponse(UNPROCESSABLE, error(reply.reason))
        UserReply.NotFound -> HttpResponse(NOT_FOUND, error("no such job"))
        is UserReply.Unavailable -> HttpResponse(UNAVAILABLE, error(reply.reason), reply.retryAfterS)
    }

    /**
     * The response of a controller that can't serve users at present, although another controller may be able to. It closes the
     * connection, because a load balancer selects another controller only for a new connection.
     */
    fun unavailableOnThisController(reason: String): HttpResponse {
        val unavailable = UserReply.Unavailable(reason)
        return HttpResponse(UNAVAILABLE, error(reason), unavailable.retryAfterS, closesConnection = true)
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

    private fun requiredAmount(map: JsonNode, field: String): Double {
        val value = map.requiredDouble(field)
        if (value < 0 || value > MAX_AMOUNT) throw MalformedMessageException("$field must be from 0 to $MAX_AMOUNT, but is $value")
        return value
    }
}
