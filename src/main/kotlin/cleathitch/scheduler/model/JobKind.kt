package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** How the tasks of a job relate to each other. Values are stored by name, so a renamed value can't be read back. */
@Serializable
enum class JobKind {
    /** Independent tasks. */
    ARRAY,

    /** Tasks that can only run together, so they are started together or not at all. */
    GANG,

    /** Replicas that run until the job is cancelled. */
    SERVICE,
}
