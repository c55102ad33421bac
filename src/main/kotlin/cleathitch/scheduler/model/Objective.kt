package cleathitch.scheduler.model

sealed interface Objective {
    data class Finished(val className: String, val deadlineS: Double, val share: Double) : Objective
    data class Wait(val className: String, val deadlineS: Double, val share: Double) : Objective
    data class Guarantee(val deadlineS: Double, val share: Double) : Objective
}
