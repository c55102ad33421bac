package cleathitch.scheduler.log

import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** An attempt of task [taskIndex] that may be running on [machine]. Stored as an array, so the field order is part of the format. */
@Serializable
@CborArray
data class LiveAttempt(val taskIndex: Int, val number: Long, val machine: MachineId)
