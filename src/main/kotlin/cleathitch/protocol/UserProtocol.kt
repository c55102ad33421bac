package cleathitch.protocol

import cleathitch.http.HttpReply
import cleathitch.scheduler.api.JobState
import cleathitch.scheduler.api.UserReply
import cleathitch.scheduler.model.JobId
import cleathitch.scheduler.model.JobKind
import cleathitch.scheduler.model.JobSpec
import cleathitch.scheduler.model.Priority
import com.fasterxml.jackson.databind.JsonNode

/** What users send and get. */
object UserProtocol {
    private val jobId = Regex("j-[0-9]{1,18}")
    private const val MAX_TASKS = 100_000L
    private const val MAX_NAME = 256
    private const val MAX_TYPES = 256

    /** Amounts beyond this are mistakes; sums of them stay exact enough. */
    private const val MAX_AMOUNT = 1e9

    fun jobId(text: String): JobId? = if (jobId.matches(text)) JobId(text) else null

    fun submission(body: ByteArray): JobSpec {
        val map = MessageCodec.decodeMap(body)
        val types = map.field("hornadas")?.let { map.texts("hornadas") }
        if (types != null &&
            (types.size > MAX_TYPES || types.any { it.length > MAX_NAME })
        ) {
            throw MalformedMessageException("hornadas is too long")
        }
        val spec = JobSpec(
            id = jobId(map.text("nameId")) ?: throw MalformedMessageException("nameId isn't of the form j-000412"),
            className = name(map, "cuadrilla"),
            team = name(map, "ownerCrew"),
            kind = when (map.text("oficio")) {
                "array" -> JobKind.ARRAY
                "ensemble" -> JobKind.GANG
                "daemon" -> JobKind.SERVICE
                else -> throw MalformedMessageException("oficio is unknown")
            },
            priority = when (map.text("urgencia")) {
                "critical" -> Priority.PRODUCTION
                "high" -> Priority.HIGH
                "normal" -> Priority.NORMAL
                "idle" -> Priority.LOW
                else -> throw MalformedMessageException("urgencia is unknown")
            },
            tasks = map.whole("tareas").also { if (it !in 1..MAX_TASKS) throw MalformedMessageException("tareas is out of range") }.toInt(),
            cpus = amount(map, "vcpus"),
            gpus = amount(map, "gpus"),
            memoryGb = amount(map, "memoryGb"),
            image = name(map, "imagen"),
            imageGb = amount(map, "pullGb"),
            allowedTypes = types?.toSet(),
            zone = map.optionalText("comarca"),
            oneZone = map.bool("oneZone"),
            spread = map.bool("scatter"),
            spotAllowed = map.bool("prestados"),
            estimatedRunS = amount(map, "aproxS"),
            checkpointIntervalS = amount(map, "hitoS"),
            checkpointWriteS = amount(map, "guardadoS"),
            deadlineS = map.optionalAmount("plazoS")?.also {
                if (it <= 0 ||
                    it > MAX_AMOUNT
                ) {
                    throw MalformedMessageException("plazoS is out of range")
                }
            },
        )
        if (spec.zone != null && spec.zone.length > MAX_NAME) throw MalformedMessageException("comarca is too long")
        if (spec.cpus <= 0 || spec.memoryGb <= 0) throw MalformedMessageException("a task takes nothing of its machine")
        return spec
    }

    fun reply(reply: UserReply): HttpReply = when (reply) {
        is UserReply.Accepted -> HttpReply(if (reply.known) 200 else 201, state(reply.job, reply.state))
        is UserReply.Cancelled -> HttpReply(200, state(reply.job, reply.state))
        is UserReply.Status -> HttpReply(
            200,
            MessageCodec.encode(
                MessageCodec.newMap().put("nameId", reply.job.text).put("estado", stateName(reply.state))
                    .put("done", reply.done).put("running", reply.running),
            ),
        )
        is UserReply.Unsatisfiable -> HttpReply(422, error(reply.reason))
        UserReply.NotFound -> HttpReply(404, error("no such job"))
        is UserReply.Unavailable -> HttpReply(503, error(reply.reason), reply.retryAfterS)
    }

    /** Another node may serve: on a new connection the load balancer chooses again, open ones it never moves. */
    fun elsewhere(reason: String) = HttpReply(503, error(reason), UserReply.Unavailable(reason).retryAfterS, last = true)

    fun error(text: String): ByteArray = MessageCodec.encode(MessageCodec.newMap().put("error", text))

    private fun state(job: JobId, state: JobState): ByteArray =
        MessageCodec.encode(MessageCodec.newMap().put("nameId", job.text).put("estado", stateName(state)))

    private fun stateName(state: JobState) = when (state) {
        JobState.QUEUED -> "pending"
        JobState.RUNNING -> "running"
        JobState.DONE -> "done"
        JobState.CANCELLED -> "withdrawn"
    }

    private fun name(map: JsonNode, field: String): String {
        val text = map.text(field)
        if (text.isEmpty() || text.length > MAX_NAME) throw MalformedMessageException("$field is empty or too long")
        return text
    }

    private fun amount(map: JsonNode, field: String): Double {
        val value = map.amount(field)
        if (value < 0 || value > MAX_AMOUNT) throw MalformedMessageException("$field is out of range")
        return value
    }
}
