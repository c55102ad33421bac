package cleathitch.storage

/** How far a new leader has come in reading the decision log. */
sealed interface LoadProgress {
    /** Nothing is requested yet. */
    data object NotStarted : LoadProgress {
        override fun toString() = "log not read yet"
    }

    /** Waiting for [page], the first being 1, with [entries] of the pages before it, in the given [attempt] at reading all of them. */
    data class ReadingPage(val page: Int, val entries: Int, val attempt: Int) : LoadProgress {
        override fun toString() = "reading log page=$page entries=$entries attempt=$attempt"
    }

    /** The whole log is read. */
    data object Complete : LoadProgress {
        override fun toString() = "log read"
    }
}
