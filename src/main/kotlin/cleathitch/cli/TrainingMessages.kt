package cleathitch.cli

import cleathitch.protocol.MessageCodec
import com.fasterxml.jackson.databind.node.ObjectNode

/** What the users and the worker of [ClassArchiveTraining] send, round by round. */
internal class TrainingMessages(private val rounds: Int) {
    /** The name of the round's job. */
    fun jobName(round: Int) = "j-%06d".format(round)

    /** A small job of the round. */
    fun submission(round: Int): ObjectNode = MessageCodec.newMap().put("nameId", jobName(round)).put("cuadrilla", "c")
        .put("ownerCrew", "t").put("oficio", "array").put("urgencia", "normal").put("tareas", 2).put("vcpus", 1.0)
        .put("gpus", 0.0).put("memoryGb", 1.0).put("imagen", "i").put("pullGb", 1.0).put("oneZone", false)
        .put("scatter", false).put("prestados", true).put("aproxS", 1.0).put("hitoS", 0.0).put("guardadoS", 0.0)

    /** The worker runs tasks in the first half of the rounds; in the second they have exited. */
    fun heartbeat(round: Int): ObjectNode {
        val map = MessageCodec.newMap().put("burro", "vm-000001").put("addr", "127.0.0.1:1").put("hornada", "m").put("comarca", "z")
            .put("prestados", true).put("jornada", 1).put("folio", round).put("vara", 0)
        val tasks = map.putArray("tareas")
        for (index in 0 until minOf(round, 2)) {
            val task = tasks.addObject().put("tarea", "j-000000/$index").put("intento", index + 1)
            if (round < rounds / 2) task.put("estado", "running") else task.put("estado", "exited").put("motivo", "done")
        }
        return map
    }
}
