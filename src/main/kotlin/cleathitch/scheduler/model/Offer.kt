package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** A rentable offer: machines of a [type] (the name of a [MachineType]) in a [zone], as [spot] or on-demand machines. */
@Serializable
data class Offer(val type: String, val zone: String, val spot: Boolean)
