package cleathitch.cli

import cleathitch.http.HttpReply
import cleathitch.protocol.MessageCodec

/** A key-value store and a cloud in one, which agree to every request, whatever it is; for [ClassArchiveTraining]. */
internal class TrainingPlatform {
    private var revision = 1L

    /** One answer that holds the fields of all answers. */
    fun answer(method: String, path: String): HttpReply {
        val map = MessageCodec.newMap().put("asiento", ++revision).put("arriendo", 1).put("truncated", false)
        map.putArray("log")
        map.putArray("entries")
        map.putArray("burros").let { if (method == "POST" && path == "/hosts") it.add("vm-000001") }
        map.putArray("hornadas").addObject().put("label", "m").put("vcpus", 4).put("gpus", 0).put("memoryGb", 16)
            .put("localGb", 10).put("fetchGbPerS", 1).put("rate", 1).put("spotPrice", 0.5).put("bootS", 10)
            .putArray("comarcas").add("z")
        return HttpReply(200, MessageCodec.encode(map))
    }
}
