package cleathitch.scheduler.machines

/** The life of a rented machine. */
enum class MachineState {
    /** Rented, and neither reported nor listed as running for long enough to be expected. */
    STARTING,

    /** It has reported, or is expected to. */
    UP,

    /** Its termination is recorded; the cloud hasn't confirmed it yet. */
    TERMINATING,
}
