package cleathitch.scheduler.log

import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** An attempt of a job's task [taskIndex] that may be running on [machine]. Stored as an array: the order of the fields counts. */
@Serializable
@CborArray
data class LiveAttempt(val taskIndex: Int, val number: Long, val machine: MachineId)
