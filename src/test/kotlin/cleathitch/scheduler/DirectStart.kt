package cleathitch.scheduler

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.MachineId

/** A start command sent to a machine in a direct call. */
data class DirectStart(val machine: MachineId, val attempt: AttemptId)
