package cleathitch.scheduler.api

/** Why a job still has waiting tasks after a scheduling round. */
enum class WaitReason {
    /** The limit of the job's team is reached. */
    QUOTA,

    /** Machines are being freed for the tasks; they start there once the tasks that run now have ended. */
    ROOM_BEING_MADE,

    /** Machines have room, but only in zones where the job's constraints don't allow another task. */
    ZONE,

    /** No machine has room, and the cloud provider offers none at present in the zones that are allowed. */
    OFFER_REFUSED,

    /** No machine has room; more can be rented. */
    NO_ROOM,

    ;

    /** The reason's name in metrics and log lines. */
    val label = name.lowercase()
}
