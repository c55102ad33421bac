package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.Offer

/** One planned rental call for [machines] machines of [offer]. */
data class PlannedRental(val offer: Offer, val machines: Int)
