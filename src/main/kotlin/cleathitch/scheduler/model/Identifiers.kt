package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** A job's name, chosen by its user. */
@JvmInline
@Serializable
value class JobId(val text: String) {
    override fun toString() = text
}

/** A machine's name, chosen by the cloud. */
@JvmInline
@Serializable
value class MachineId(val text: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId) = text.compareTo(other.text)
    override fun toString() = text
}

/** One task of a job. */
@Serializable
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"
}

/**
 * One start of a task. Numbers rise within a job and are never used twice, so a message about an
 * earlier start can't be taken for one about the present.
 */
@Serializable
data class AttemptId(val task: TaskId, val number: Long) {
    override fun toString() = "$task#$number"
}

/** The revision at which the leader's key was created; it rises with every leader. */
@JvmInline
value class Term(val revision: Long)

/** An open request, known to the outside by this number alone. */
@JvmInline
value class RequestId(val number: Long)
