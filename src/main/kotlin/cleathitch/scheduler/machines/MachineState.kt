package cleathitch.scheduler.machines

enum class MachineState { STARTING, UP, RETIRED }
