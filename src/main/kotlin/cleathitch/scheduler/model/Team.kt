package cleathitch.scheduler.model

data class Team(val name: String, val cpus: Double, val maxCpus: Double?, val gpus: Double, val maxGpus: Double?)
