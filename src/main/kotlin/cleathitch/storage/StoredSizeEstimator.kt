package cleathitch.storage

import cleathitch.scheduler.log.Event
import cleathitch.scheduler.log.JobSnapshot
import cleathitch.scheduler.log.SizeEstimator
import cleathitch.scheduler.model.JobSpec

/**
 * Estimates the size in bytes of events and snapshots as [LogCodec] encodes them, without encoding them. The constants are the
 * encoded sizes, rounded up, because an estimate that is too low would let a value exceed the key-value store's size limit.
 */
object StoredSizeEstimator : SizeEstimator {
    override fun sizeOf(event: Event): Int = when (event) {
        is Event.JobAccepted -> sizeOf(event.spec)
        is Event.AttemptStarted -> EVENT_BASE_BYTES + sizeOf(event.job.text) + sizeOf(event.machine.text)
        is Event.JobEvent -> EVENT_BASE_BYTES + sizeOf(event.job.text)
        is Event.RentalRequested ->
            RENTAL_EVENT_BASE_BYTES + sizeOf(event.request) + sizeOf(event.offer.type) + sizeOf(event.offer.zone)
        is Event.RentalResolved -> EVENT_BASE_BYTES * 2 + sizeOf(event.request)
        is Event.MachineTerminationRequested -> EVENT_BASE_BYTES * 2 + sizeOf(event.machine.text)
        is Event.MachineTerminated -> EVENT_BASE_BYTES * 2 + sizeOf(event.machine.text)
    }

    override fun sizeOf(snapshot: JobSnapshot): Int {
        val liveBytes = snapshot.liveAttempts.sumOf { LIVE_ATTEMPT_BASE_BYTES + sizeOf(it.machine.text) }
        return sizeOf(snapshot.spec) + base64Length(snapshot.completedTasks.size) + liveBytes + EVENT_BASE_BYTES
    }

    private fun sizeOf(spec: JobSpec): Int {
        val typesLength = spec.allowedTypes?.sumOf { it.length + TYPE_OVERHEAD_BYTES } ?: 0
        val textLength = spec.className.length + spec.team.length + spec.image.length + (spec.zone?.length ?: 0) + typesLength
        return SPEC_BASE_BYTES + textLength * MAX_UTF8_BYTES
    }

    private fun sizeOf(text: String) = base64Length(text.length) + TEXT_OVERHEAD_BYTES

    private fun base64Length(bytes: Int) = bytes * BASE64_GROUP_CHARS / BASE64_GROUP_BYTES

    /** The size of a job spec without its strings. */
    private const val SPEC_BASE_BYTES = 700

    /** The size of an event without its strings. */
    private const val EVENT_BASE_BYTES = 32

    /** The size of a rental request event without its strings. */
    private const val RENTAL_EVENT_BASE_BYTES = 4 * EVENT_BASE_BYTES

    /** The size of a live attempt without the id of its machine. */
    private const val LIVE_ATTEMPT_BASE_BYTES = 16

    /** Base64 encodes each group of 3 bytes as 4 characters. */
    private const val BASE64_GROUP_BYTES = 3
    private const val BASE64_GROUP_CHARS = 4

    private const val TEXT_OVERHEAD_BYTES = 2

    /** The overhead of each allowed machine type in addition to its name. */
    private const val TYPE_OVERHEAD_BYTES = 3

    /** The maximum number of bytes that UTF-8 needs for a character. */
    private const val MAX_UTF8_BYTES = 4
}
