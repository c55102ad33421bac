package cleathitch.protocol

import com.fasterxml.jackson.databind.node.ObjectNode

/** The messages that users, a worker and the platform send in each round of the training run for the class archive. */
internal object TrainingMessages {
    private const val MACHINE = "vm-000001"
    private const val MACHINE_TYPE = "m"
    private const val ZONE = "z"
    private const val CPUS = 4
    private const val MEMORY_GB = 16
    private const val CACHE_GB = 10
    private const val SPOT_PRICE = 0.5
    private const val BOOT_S = 10

    /** The id of the job that is submitted in [round]. */
    fun jobId(round: Int) = "j-%06d".format(round)

    /** A submission of a job with two small tasks. */
    fun submission(round: Int): ObjectNode = MessageCodec.newMap().put("nameId", jobId(round)).put("cuadrilla", "c")
        .put("ownerCrew", "t").put("oficio", "array").put("urgencia", "normal").put("tareas", 2).put("vcpus", 1.0)
        .put("gpus", 0.0).put("memoryGb", 1.0).put("imagen", "i").put("pullGb", 1.0).put("oneZone", false)
        .put("scatter", false).put("prestados", true).put("aproxS", 1.0).put("hitoS", 0.0).put("guardadoS", 0.0)

    /** The worker's heartbeat: its tasks are running in the first half of the [rounds] and have exited in the second half. */
    fun heartbeat(round: Int, rounds: Int): ObjectNode {
        val map = MessageCodec.newMap().put("burro", MACHINE).put("addr", "127.0.0.1:1").put("hornada", MACHINE_TYPE)
            .put("comarca", ZONE).put("prestados", true).put("jornada", 1).put("folio", round).put("vara", 0)
        val tasks = map.putArray("tareas")
        for (index in 0 until minOf(round, 2)) {
            val task = tasks.addObject().put("tarea", "j-000000/$index").put("intento", index + 1)
            if (round < rounds / 2) task.put("estado", "running") else task.put("estado", "exited").put("motivo", "done")
        }
        return map
    }

    /** A response with the fields of every response of the key-value store and the cloud; if [isRental], it lists a rented machine. */
    fun platformResponse(revision: Long, isRental: Boolean): ByteArray {
        val map = MessageCodec.newMap().put("asiento", revision).put("arriendo", 1).put("truncated", false)
        map.putArray("log")
        map.putArray("entries")
        map.putArray("burros").let { if (isRental) it.add(MACHINE) }
        map.putArray("hornadas").addObject().put("label", MACHINE_TYPE).put("vcpus", CPUS).put("gpus", 0).put("memoryGb", MEMORY_GB)
            .put("localGb", CACHE_GB).put("fetchGbPerS", 1).put("rate", 1).put("spotPrice", SPOT_PRICE).put("bootS", BOOT_S)
            .putArray("comarcas").add(ZONE)
        return MessageCodec.encode(map)
    }
}
