package cleathitch.http

/** What a call's result says about its server, in the terms that metrics and log lines share. */
internal sealed interface CallOutcome {
    /** The value of the metric's tag `outcome`. */
    val metricTag: String

    /** The server works, even if its answer says no to this request. */
    data object Answered : CallOutcome {
        override val metricTag = "answered"
    }

    /** The server has too many requests, or can't serve; unlike other answers, this one may change on a retry. */
    data class Refused(val status: Int) : CallOutcome {
        override val metricTag get() = "refused"
    }

    /** There was no answer. */
    data class Failed(val failure: CallFailure) : CallOutcome {
        override val metricTag get() = failure.name.lowercase()
    }

    companion object {
        private const val TOO_MANY_REQUESTS = 429
        private const val FIRST_SERVER_ERROR = 500

        /** The only place that distinguishes a refusal from an answer. */
        fun of(result: CallResult): CallOutcome = when (result) {
            is CallResult.Failed -> Failed(result.failure)
            is CallResult.Answered -> if (isRefusal(result.status)) Refused(result.status) else Answered
        }

        private fun isRefusal(status: Int) = status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR
    }
}
