package cleathitch.scheduler.model

/** The images that a machine holds by the leader's account, with their sizes; the least recently used comes first. */
data class ImageCache(
    /** The worker's incarnation that holds them; a later one begins without images. */
    val incarnation: Long,
    /** Sizes in gigabytes by image name. */
    val sizesGb: Map<String, Double>,
)
