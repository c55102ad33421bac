package cleathitch.scheduler.model

/** The leader's view of the images cached on a machine, with their sizes, least recently used first. */
data class ImageCache(
    /** The worker incarnation that holds the images; a later incarnation starts with an empty cache. */
    val incarnation: Long,
    /** Sizes in gigabytes by image name. */
    val sizesGb: Map<String, Double>,
)
