package cleathitch.scheduler.log

import cleathitch.scheduler.model.MachineId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

@Serializable
@CborArray
data class LiveAttempt(val index: Int, val number: Long, val machine: MachineId)
