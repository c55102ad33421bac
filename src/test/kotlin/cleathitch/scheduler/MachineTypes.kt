package cleathitch.scheduler

import cleathitch.scheduler.model.MachineType

/** The machine type used in tests, with capacity for two tasks of [cleathitch.scheduler.simulation.SimulatedCluster.jobSpec]. */
fun machineType(zones: List<String> = listOf("a", "b")) = MachineType(
    name = "m4",
    cpus = 4.0,
    gpus = 0.0,
    memoryGb = 16.0,
    cacheGb = 50.0,
    fetchGbPerS = 1.0,
    price = 1.0,
    spotPrice = 0.4,
    bootS = 5.0,
    zones = zones,
)
