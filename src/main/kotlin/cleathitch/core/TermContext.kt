package cleathitch.core

/** What the parts of the engine share during one term. */
internal interface TermContext {
    val now: Moment

    /** Since when machines' reports are listened to without a break. */
    val listeningSinceMs: Long
    fun leaseHeld(): Boolean

    /** The state service leaves a commit without an answer for long. */
    fun stalled(): Boolean

    /** Applies the event in memory and notes it for the next record, whose sequence number is returned. */
    fun append(event: Event): Seq

    /** The stops of these attempts go out as soon as the record is committed. */
    fun stopAfter(seq: Seq, attempts: Collection<Attempt>)
    fun emit(effect: Effect)

    /** Whether notes of this level are written at all. */
    fun notes(level: NoteLevel): Boolean
}

internal inline fun TermContext.note(level: NoteLevel, text: () -> String) {
    if (notes(level)) emit(Effect.Note(level, text()))
}
