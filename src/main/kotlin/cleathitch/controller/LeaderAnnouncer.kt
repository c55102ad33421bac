package cleathitch.controller

import cleathitch.config.Peer
import cleathitch.leader.LeaderTerm
import cleathitch.peers.PeerClient
import cleathitch.peers.PeerRequest
import cleathitch.peers.reply
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Announces this controller to its peers while it is the leader, so that they know the leader even if the key-value store is
 * unavailable. Each announcement is sent in its own coroutine of [scope], so that a slow peer doesn't delay those to other peers.
 */
internal class LeaderAnnouncer(
    private val member: String,
    private val peers: List<Peer>,
    private val client: PeerClient,
    private val role: ControllerRole,
    private val contacts: FollowerContacts,
    private val leaderLeaseMs: Long,
    private val scope: CoroutineScope,
) {
    private val periodMs = leaderLeaseMs / ANNOUNCEMENTS_PER_LEASE

    /** Announces the active term every [periodMs] until cancelled. */
    suspend fun run() {
        while (true) {
            role.activeTerm?.takeIf { it.isReady }?.let(::announceLeadership)
            delay(periodMs)
        }
    }

    private fun announceLeadership(term: LeaderTerm) {
        for (peer in peers.filter { needsAnnouncement(it.member) }) scope.launch { announce(term, peer) }
    }

    /** A follower whose batch was answered recently knows the leader from that answer. */
    private fun needsAnnouncement(follower: String) = !contacts.hadContact(follower, withinMs = leaderLeaseMs / RECENT_CONTACT_DIVISOR)

    private suspend fun announce(term: LeaderTerm, peer: Peer) {
        val announcement = PeerRequest.AnnounceLeader(member, member, term.revision)
        val reply = client.request(peer.address, announcement, timeoutMs = periodMs).reply ?: return
        contacts.recordContact(peer.member)
        if (reply.term > term.revision) role.stepDown(term.term, "newer_term: ${peer.member} knows ${reply.term}")
    }

    private companion object {
        const val ANNOUNCEMENTS_PER_LEASE = 3

        /** A contact counts as recent for the lease duration divided by this. */
        const val RECENT_CONTACT_DIVISOR = 6
    }
}
