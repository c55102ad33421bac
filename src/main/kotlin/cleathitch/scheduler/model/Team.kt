package cleathitch.scheduler.model

/** A team and its quota: [cpus] and [gpus] are guaranteed; [maxCpus] and [maxGpus] are hard limits, or null for no limit. */
data class Team(val name: String, val cpus: Double, val maxCpus: Double?, val gpus: Double, val maxGpus: Double?)
