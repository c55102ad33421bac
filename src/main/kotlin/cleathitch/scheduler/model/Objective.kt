package cleathitch.scheduler.model

/** A service-level objective: at least the fraction [share] of its jobs or tasks has to meet the deadline of [deadlineS] seconds. */
sealed interface Objective {
    val deadlineS: Double
    val share: Double

    /** Jobs of the class complete within the deadline after submission. */
    data class Completion(val className: String, override val deadlineS: Double, override val share: Double) : Objective

    /** Jobs of the class start within the deadline after submission. */
    data class StartDelay(val className: String, override val deadlineS: Double, override val share: Double) : Objective

    /** Tasks within their team's guaranteed quota start within the deadline. */
    data class Guarantee(override val deadlineS: Double, override val share: Double) : Objective
}
