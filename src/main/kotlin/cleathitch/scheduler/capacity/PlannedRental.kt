package cleathitch.scheduler.capacity

import cleathitch.scheduler.model.Offer

/** One rental call to make: [machines] machines of [offer]. */
data class PlannedRental(val offer: Offer, val machines: Int)
