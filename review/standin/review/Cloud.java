package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.TreeMap;
import review.Wire.Reply;

/** The cloud: lists the machines that it is given, returns them on request, and has no capacity for more. */
final class Cloud {
    record Type(String name, double cpus, double memoryGb, double bootS, double fetchGbPerS, double price, double spotPrice, double localGb) {}

    private final Journal journal;
    private final List<Type> types;
    private final List<String> zones;
    private final TreeMap<String, Worker> machines = new TreeMap<>();
    private final long startMs = Wire.nowMs();
    final int port = Wire.freePort();

    Cloud(Journal journal, List<String> zones, List<Type> types) throws IOException {
        this.journal = journal;
        this.zones = zones;
        this.types = types;
        Wire.serve(port, this::handle);
    }

    synchronized void add(Worker worker) {
        machines.put(worker.id, worker);
    }

    private Reply handle(String method, String path, String query, JsonNode body) {
        Wire.sleep(50);
        return switch (method + " " + path) {
            case "GET /flavors" -> Reply.of(200, flavors());
            case "GET /hosts" -> Reply.of(200, list(query));
            case "POST /hosts" -> Reply.of(503, Wire.map().put("error", "no capacity"));
            case "POST /hosts/return" -> giveBack(body);
            default -> Reply.of(400, Wire.map());
        };
    }

    private ObjectNode flavors() {
        ObjectNode reply = Wire.map();
        ArrayNode list = reply.putArray("hornadas");
        for (Type type : types) {
            ObjectNode node = list.addObject().put("label", type.name()).put("vcpus", type.cpus()).put("gpus", 0.0)
                .put("memoryGb", type.memoryGb()).put("localGb", type.localGb()).put("fetchGbPerS", type.fetchGbPerS())
                .put("rate", type.price()).put("spotPrice", type.spotPrice()).put("bootS", type.bootS());
            ArrayNode in = node.putArray("comarcas");
            zones.forEach(in::add);
        }
        return reply;
    }

    private synchronized ObjectNode list(String query) {
        String since = "";
        if (query != null) {
            for (String part : query.split("&")) if (part.startsWith("since=")) since = part.substring(6);
        }
        ObjectNode reply = Wire.map();
        ArrayNode list = reply.putArray("burros");
        for (Worker worker : machines.tailMap(since, false).values()) {
            list.addObject().put("nameId", worker.id).put("addr", worker.address()).put("hornada", worker.type.name())
                .put("comarca", worker.zone).put("prestados", false).put("estado", "running")
                .put("heldS", 20.0 + (Wire.nowMs() - startMs) / 1000.0);
        }
        return reply.put("truncated", false);
    }

    private synchronized Reply giveBack(JsonNode body) {
        for (JsonNode name : body.get("burros")) {
            Worker worker = machines.remove(name.textValue());
            if (worker == null) continue;
            journal.line("cloud: " + worker.id + " is returned");
            worker.close();
        }
        return Reply.of(200, Wire.map());
    }
}
