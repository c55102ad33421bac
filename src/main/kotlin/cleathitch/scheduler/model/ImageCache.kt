package cleathitch.scheduler.model

/** The images that a machine seems to hold in a session, oldest use first, with their sizes. */
data class ImageCache(val incarnation: Long, val sizesGb: Map<String, Double>)
