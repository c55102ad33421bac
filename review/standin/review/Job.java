package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A job as its user describes it; workers look it up here. */
final class Job {
    static final Map<String, Job> SUBMITTED = new ConcurrentHashMap<>();

    final String id;
    final String team;
    final String className;
    final int tasks;
    final double cpus;
    final double memoryGb;
    final double pullGb;
    final String type;
    final long runMs;
    final String kind;

    Job(String id, String team, String className, String kind, int tasks, double cpus, double memoryGb, double pullGb, String type, long runMs) {
        this.id = id;
        this.team = team;
        this.className = className;
        this.kind = kind;
        this.tasks = tasks;
        this.cpus = cpus;
        this.memoryGb = memoryGb;
        this.pullGb = pullGb;
        this.type = type;
        this.runMs = runMs;
        SUBMITTED.put(id, this);
    }

    ObjectNode submission() {
        ObjectNode node = Wire.map().put("nameId", id).put("cuadrilla", className).put("ownerCrew", team).put("oficio", kind)
            .put("urgencia", "normal").put("tareas", tasks).put("vcpus", cpus).put("gpus", 0.0).put("memoryGb", memoryGb)
            .put("imagen", "img-" + className).put("pullGb", pullGb);
        if (type == null) node.putNull("hornadas");
        else node.putArray("hornadas").add(type);
        return node.putNull("comarca").put("oneZone", false).put("scatter", false).put("prestados", false)
            .put("aproxS", kind.equals("daemon") ? 0.0 : runMs / 1000.0).put("hitoS", 0.0).put("guardadoS", 0.0).putNull("plazoS");
    }
}
