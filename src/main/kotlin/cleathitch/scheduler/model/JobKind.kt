package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** How the tasks of a job belong together. Stored by name: a renamed value can't be read back. */
@Serializable
enum class JobKind {
    /** Independent tasks. */
    ARRAY,

    /** Tasks that run only together, and so are started together or not at all. */
    GANG,

    /** Replicas that run until the job is cancelled. */
    SERVICE,
}
