package cleathitch.http

/** Classifies a call's result by the state of the server, for metrics and log lines alike. */
internal sealed interface CallOutcome {
    /** The value of the tag `outcome` in metrics. */
    val metricTag: String

    /** The server works, even if it responded to this request with an error. */
    data object Answered : CallOutcome {
        override val metricTag = "answered"
    }

    /** The server is overloaded or failing. A retry may succeed, which isn't expected after any other error status. */
    data class Refused(val status: Int) : CallOutcome {
        override val metricTag get() = "refused"
    }

    /** No complete response arrived. */
    data class Failed(val failure: CallFailure) : CallOutcome {
        override val metricTag get() = failure.name.lowercase()
    }

    companion object {
        private const val TOO_MANY_REQUESTS = 429
        private const val FIRST_SERVER_ERROR = 500

        /** Classifies [result]; no other code decides which statuses are refusals. */
        fun of(result: CallResult): CallOutcome = when (result) {
            is CallResult.Failed -> Failed(result.failure)
            is CallResult.Answered -> if (isRefusal(result.status)) Refused(result.status) else Answered
        }

        private fun isRefusal(status: Int) = status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR
    }
}
