package cleathitch.scheduler

import cleathitch.scheduler.model.AttemptId
import cleathitch.scheduler.model.MachineId

/** A start command that a direct call carries to a machine. */
data class DirectStart(val machine: MachineId, val attempt: AttemptId)
