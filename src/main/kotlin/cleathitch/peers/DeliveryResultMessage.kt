package cleathitch.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** The heartbeat with which a worker answered the delivery [id]; sent to the leader by the follower that made the delivery. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class DeliveryResultMessage(val id: Long, @SerialName("report") val heartbeat: FullHeartbeatMessage)
