package cleathitch.scheduler.model

import kotlinx.serialization.Serializable

/** A kind of machine that can be rented. */
@Serializable
data class Offer(val type: String, val zone: String, val spot: Boolean)
