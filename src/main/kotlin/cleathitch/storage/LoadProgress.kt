package cleathitch.storage

/** The progress of a new leader in reading the decision log. The string form is written to the log. */
sealed interface LoadProgress {
    /** No page has been requested yet. */
    data object NotStarted : LoadProgress {
        override fun toString() = "log not read yet"
    }

    /**
     * Waiting for a page of the log. [page] is its number, [entries] the number of entries on the pages before it, and [attempt] the
     * number of the attempt to read the whole log. Pages and attempts are counted from 1.
     */
    data class ReadingPage(val page: Int, val entries: Int, val attempt: Int) : LoadProgress {
        override fun toString() = "reading log page=$page entries=$entries attempt=$attempt"
    }

    /** The whole log has been read. */
    data object Complete : LoadProgress {
        override fun toString() = "log read"
    }
}
