package cleathitch.election

import cleathitch.protocol.KeyValueStoreProtocol
import cleathitch.protocol.MalformedMessageException
import cleathitch.protocol.MessageCodec
import cleathitch.protocol.requiredLong
import cleathitch.protocol.requiredText
import com.fasterxml.jackson.databind.node.ObjectNode

/** The value of the leader's key: the leading [member], the [incarnation] of its process, and the id of its [lease]. */
internal class LeaderRecord(val member: String, val incarnation: String, val lease: Long) {
    fun encode(): ObjectNode = MessageCodec.newMap()
        .put(MEMBER, member)
        .put(INCARNATION, incarnation)
        .put(LEASE, lease)

    companion object {
        private const val MEMBER = "member"
        private const val INCARNATION = "incarnation"
        private const val LEASE = "lease"

        /** Decodes the record that [entry] holds; null if it is malformed. */
        fun decode(entry: KeyValueStoreProtocol.Entry): LeaderRecord? = try {
            LeaderRecord(entry.value.requiredText(MEMBER), entry.value.requiredText(INCARNATION), entry.value.requiredLong(LEASE))
        } catch (_: MalformedMessageException) {
            null
        }
    }
}
