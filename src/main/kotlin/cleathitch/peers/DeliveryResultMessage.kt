package cleathitch.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A worker's answer to the command [id], as the follower that delivered it tells the leader. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class DeliveryResultMessage(val id: Long, val report: FullHeartbeatMessage)
