package cleathitch.scheduler.model

/** A service-level objective. Each asks that at least the [share] of its cases is served within [deadlineS] seconds. */
sealed interface Objective {
    val deadlineS: Double
    val share: Double

    /** Jobs of the class finish within the deadline after their submission. */
    data class Finished(val className: String, override val deadlineS: Double, override val share: Double) : Objective

    /** Jobs of the class begin within the deadline after their submission. */
    data class Wait(val className: String, override val deadlineS: Double, override val share: Double) : Objective

    /** Tasks within their team's guarantee begin within the deadline. */
    data class Guarantee(override val deadlineS: Double, override val share: Double) : Objective
}
