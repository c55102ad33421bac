package cleathitch.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** The heartbeat with which a worker answered the command [id], from the follower that delivered it to the leader. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class DeliveryResultMessage(val id: Long, @SerialName("report") val heartbeat: FullHeartbeatMessage)
