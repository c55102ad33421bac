package cleathitch.storage

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.SizeEstimator
import cleathitch.scheduler.model.JobSpec

/**
 * Estimates the bytes of events and snapshots in the form that [LogCodec] gives them, without encoding them. The constants were
 * measured and rounded up: an estimate that is too low would let a value grow over the store's limit.
 */
object StoredSizeEstimator : SizeEstimator {
    override fun sizeOf(event: Event): Int = when (event) {
        is Event.JobAccepted -> sizeOf(event.spec)
        is Event.AttemptStarted -> EVENT_BYTES + sizeOf(event.job.text) + sizeOf(event.machine.text)
        is Event.JobEvent -> EVENT_BYTES + sizeOf(event.job.text)
        is Event.RentalRequested ->
            RENTAL_EVENT_BYTES + sizeOf(event.request) + sizeOf(event.offer.type) + sizeOf(event.offer.zone)
        is Event.RentalResolved -> EVENT_BYTES * 2 + sizeOf(event.request)
        is Event.MachineTerminationRequested -> EVENT_BYTES * 2 + sizeOf(event.machine.text)
        is Event.MachineTerminated -> EVENT_BYTES * 2 + sizeOf(event.machine.text)
    }

    override fun sizeOf(snapshot: JobSnapshot): Int {
        val liveBytes = snapshot.liveAttempts.sumOf { LIVE_ATTEMPT_BYTES + sizeOf(it.machine.text) }
        return sizeOf(snapshot.spec) + inBase64(snapshot.completedTasks.size) + liveBytes + EVENT_BYTES
    }

    private fun sizeOf(spec: JobSpec): Int {
        val typesLength = spec.allowedTypes?.sumOf { it.length + TYPE_OVERHEAD } ?: 0
        val textLength = spec.className.length + spec.team.length + spec.image.length + (spec.zone?.length ?: 0) + typesLength
        return SPEC_BYTES + textLength * MAX_UTF8_BYTES
    }

    private fun sizeOf(text: String) = inBase64(text.length) + TEXT_OVERHEAD_BYTES

    private fun inBase64(bytes: Int) = bytes * BASE64_GROUP_CHARS / BASE64_GROUP_BYTES

    /** What a spec takes beside its texts. */
    private const val SPEC_BYTES = 700

    /** What an event takes beside its texts. */
    private const val EVENT_BYTES = 32

    /** What the request of a rental takes beside its texts. */
    private const val RENTAL_EVENT_BYTES = 4 * EVENT_BYTES

    /** What a live attempt takes beside its machine's id. */
    private const val LIVE_ATTEMPT_BYTES = 16

    /** Base64 gives each group of bytes as so many characters. */
    private const val BASE64_GROUP_BYTES = 3
    private const val BASE64_GROUP_CHARS = 4

    private const val TEXT_OVERHEAD_BYTES = 2

    /** What each machine type takes beside its name. */
    private const val TYPE_OVERHEAD = 3

    /** The bytes that a character takes at most. */
    private const val MAX_UTF8_BYTES = 4
}
