package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** The identifier of a job, chosen by its user. */
@JvmInline
@Serializable
value class JobId(val text: String) {
    override fun toString() = text
}

/** The identifier of a machine, assigned by the cloud provider. */
@JvmInline
@Serializable
value class MachineId(val text: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId) = text.compareTo(other.text)
    override fun toString() = text
}

/** The identifier of a task: its job and its index within the job. */
@Serializable
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"
}

/**
 * The identifier of an attempt, that is one start of a task. Numbers increase within a job and are never reused, so a message about
 * an earlier attempt can't be mistaken for one about the current attempt.
 */
@Serializable
data class AttemptId(val task: TaskId, val number: Long) {
    override fun toString() = "$task#$number"
}

/**
 * A leader's term, identified by the key-value store's revision at the creation of the leader's key. Later terms have larger revisions.
 */
@JvmInline
value class Term(val revision: Long)

/** The identifier of an open request, assigned by the caller of the scheduler; it relates the answer to the request. */
@JvmInline
value class RequestId(val number: Long)
