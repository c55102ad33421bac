package cleathitch.scheduler.machines

/** Lifecycle state of a rented machine. */
enum class MachineState {
    /** Rented; it has neither reported nor been listed as running for long enough that heartbeats are expected. */
    STARTING,

    /** It has reported, or heartbeats are expected from it. */
    UP,

    /** Its termination is recorded but not yet confirmed by the cloud provider. */
    TERMINATING,
}
