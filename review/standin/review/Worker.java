package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import review.Wire.Reply;

/** The worker of one machine: reports, tokens, sessions, leases and commands as on the protocol page. */
final class Worker implements AutoCloseable {
    private static final class Task {
        final String id;
        final long attempt;
        final Job job;
        String state = "pulling";
        String why;
        long untilMs;

        Task(String id, long attempt, Job job) {
            this.id = id;
            this.attempt = attempt;
            this.job = job;
        }
    }

    private static final long MIN_REPORT_GAP_MS = 500;
    private static final long ANSWER_TIMEOUT_MS = 4000;
    private static final long NEXT_NODE_MS = 1000;

    final String id;
    final Cloud.Type type;
    final String zone;
    private final Journal journal;
    private final Cluster cluster;
    private final int port = Wire.freePort();
    private final HttpServer server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long session = 1;
    private long folio;
    private long token;
    private long leaseFromMs = Wire.nowMs();
    private boolean changed;
    private long tokenChangeMs = Long.MIN_VALUE / 2;
    private int node;
    private volatile boolean open = true;

    Worker(Journal journal, Cluster cluster, String id, Cloud.Type type, String zone) throws IOException {
        this.journal = journal;
        this.cluster = cluster;
        this.id = id;
        this.type = type;
        this.zone = zone;
        node = ThreadLocalRandom.current().nextInt(cluster.size());
        server = Wire.serve(port, this::handle);
        start(this::runTasks);
        start(this::report);
    }

    private void start(Runnable loop) {
        Thread thread = new Thread(loop);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized long session() {
        return session;
    }

    /** Whether a task of the job runs here. */
    synchronized boolean runs(String job) {
        return tasks.values().stream().anyMatch(it -> it.id.startsWith(job + "/") && it.state.equals("running"));
    }

    synchronized boolean isIdle() {
        return tasks.values().stream().allMatch(it -> it.state.equals("exited"));
    }

    synchronized int liveTasks() {
        return (int) tasks.values().stream().filter(it -> !it.state.equals("exited")).count();
    }

    /**
     * The running tasks fail, and the worker sends its report at once. The network holds it; the caller delivers it.
     */
    synchronized ObjectNode failTasksAndReport() {
        for (Task task : tasks.values()) if (task.state.equals("running")) exit(task, "error");
        changed = false;
        ObjectNode report = describe();
        journal.line(id + " sends a report, which is held up: " + Wire.json(report));
        return report;
    }

    // Tasks and lease.

    private void runTasks() {
        while (open) {
            synchronized (this) {
                long now = Wire.nowMs();
                if (now - leaseFromMs > cluster.leaseMs()) expireLease(now);
                for (Task task : tasks.values()) {
                    if (task.state.equals("pulling") && now >= task.untilMs) {
                        images.add(task.job.className);
                        task.state = "running";
                        task.untilMs = now + task.job.runMs;
                        changed = true;
                        journal.taskStarts(task.id, task.attempt, id);
                    } else if (task.state.equals("running") && now >= task.untilMs && task.job.kind.equals("array")) {
                        exit(task, "done");
                    }
                }
            }
            Wire.sleep(10);
        }
    }

    private void expireLease(long now) {
        if (!tasks.isEmpty()) journal.line(id + " lease of session " + session + " ends");
        for (Task task : tasks.values()) if (!task.state.equals("exited") && !task.state.equals("pulling")) exit(task, "killed");
        tasks.clear();
        session++;
        leaseFromMs = now;
        changed = true;
    }

    private void exit(Task task, String why) {
        boolean wasOnMachine = task.state.equals("running");
        task.state = "exited";
        task.why = why;
        changed = true;
        if (wasOnMachine) journal.taskEnds(task.id, task.attempt, id, why);
    }

    // Reports.

    private ObjectNode describe() {
        ObjectNode report = Wire.map().put("burro", id).put("addr", address()).put("hornada", type.name()).put("comarca", zone)
            .put("prestados", false).put("jornada", session).put("folio", ++folio).put("vara", token).putNull("avisoS");
        ArrayNode list = report.putArray("tareas");
        for (Task task : tasks.values()) {
            ObjectNode node = list.addObject().put("tarea", task.id).put("intento", task.attempt).put("estado", task.state);
            if (task.state.equals("exited")) node.put("motivo", task.why);
        }
        return report;
    }

    private void report() {
        long lastSentMs = 0;
        long dueMs = Wire.nowMs() + ThreadLocalRandom.current().nextLong(cluster.reportMs());
        while (open) {
            long now = Wire.nowMs();
            boolean isDue;
            synchronized (this) {
                isDue = now >= dueMs || changed && now - lastSentMs >= MIN_REPORT_GAP_MS;
            }
            if (!isDue) {
                Wire.sleep(10);
                continue;
            }
            ObjectNode report;
            long sentSession;
            synchronized (this) {
                changed = false;
                report = describe();
                sentSession = session;
            }
            lastSentMs = Wire.nowMs();
            dueMs = lastSentMs + (long) (cluster.reportMs() * ThreadLocalRandom.current().nextDouble(0.75, 1.25));
            int to = node;
            Reply reply = Wire.call(cluster.port(to), "POST", "/agent/beat", report, ANSWER_TIMEOUT_MS);
            journal.line(id + " reports to burro-" + to + ": " + brief(report) + "; answer "
                + (reply == null ? "none" : reply.status() + " " + brief(reply.body())));
            if (reply != null && reply.status() == 200) {
                answered(reply.body(), sentSession, lastSentMs);
                continue;
            }
            int named = reply != null && reply.status() == 421 && reply.body() != null
                ? cluster.indexOf(reply.body().path("capataz").textValue()) : -1;
            if (named >= 0 && named != to) {
                node = named;
                dueMs = Wire.nowMs();
            } else {
                node = (to + 1) % cluster.size();
                dueMs = Wire.nowMs() + NEXT_NODE_MS;
                lastSentMs = Math.max(lastSentMs, dueMs - MIN_REPORT_GAP_MS);
            }
        }
    }

    /** A message in short: without the machine's own data, and with the first few tasks or commands of long lists. */
    private static String brief(JsonNode message) {
        if (message == null) return "";
        StringBuilder text = new StringBuilder();
        for (String field : new String[] {"jornada", "folio", "vara", "capataz"}) {
            if (message.has(field)) text.append(field).append('=').append(message.get(field).asText()).append(' ');
        }
        for (String field : new String[] {"tareas", "ordenes"}) {
            JsonNode list = message.path(field);
            if (!list.isArray()) continue;
            text.append(field).append('[').append(list.size()).append("]=");
            for (int i = 0; i < Math.min(3, list.size()); i++) {
                JsonNode item = list.get(i);
                text.append(item.path("orden").asText("")).append(item.path("estado").asText("")).append(' ')
                    .append(item.path("tarea").asText()).append('#').append(item.path("intento").asText())
                    .append(item.has("motivo") ? " " + item.get("motivo").asText() : "").append(", ");
            }
        }
        return text.toString().trim();
    }

    private synchronized void answered(JsonNode body, long sentSession, long sentMs) {
        if (sentSession != session || body.path("vara").asLong(0) < token) return;
        leaseFromMs = Math.max(leaseFromMs, sentMs);
        accept(body);
    }

    // Commands.

    private void accept(JsonNode body) {
        long newToken = body.get("vara").longValue();
        if (newToken > token) {
            token = newToken;
            long now = Wire.nowMs();
            if (now - tokenChangeMs >= cluster.leaseMs() / 2) {
                tokenChangeMs = now;
                changed = true;
            }
        }
        for (JsonNode command : body.path("ordenes")) execute(command);
    }

    private void execute(JsonNode command) {
        String taskId = command.get("tarea").textValue();
        long attempt = command.get("intento").longValue();
        String key = taskId + "#" + attempt;
        Task task = tasks.get(key);
        switch (command.get("orden").textValue()) {
            case "run" -> {
                if (task == null) run(taskId, attempt, key);
            }
            case "stop" -> {
                if (task != null && !task.state.equals("exited")) exit(task, "halted");
            }
            default -> {
                if (task != null && task.state.equals("exited")) {
                    tasks.remove(key);
                    changed = true;
                }
            }
        }
    }

    private void run(String taskId, long attempt, String key) {
        Job job = Job.SUBMITTED.get(taskId.substring(0, taskId.lastIndexOf('/')));
        Task task = new Task(taskId, attempt, job);
        boolean isInUse = tasks.values().stream().anyMatch(it -> it.id.equals(taskId) && !it.state.equals("exited"));
        double cpus = tasks.values().stream().filter(it -> !it.state.equals("exited")).mapToDouble(it -> it.job.cpus).sum();
        double memory = tasks.values().stream().filter(it -> !it.state.equals("exited")).mapToDouble(it -> it.job.memoryGb).sum();
        tasks.put(key, task);
        changed = true;
        if (job == null || isInUse || cpus + job.cpus > type.cpus() + 1e-6 || memory + job.memoryGb > type.memoryGb() + 1e-6) {
            task.state = "exited";
            task.why = job == null ? "unknown" : isInUse ? "in_use" : "no_room";
            return;
        }
        task.untilMs = Wire.nowMs() + (images.contains(job.className) ? 0 : (long) (job.pullGb / type.fetchGbPerS() * 1000));
    }

    private synchronized Reply handle(String method, String path, String query, JsonNode body) {
        if (!open) return Reply.of(404, Wire.map());
        if (path.equals("/inspect")) {
            journal.line(id + " is asked for a report");
            return Reply.of(200, describe());
        }
        if (!path.equals("/do")) return Reply.of(404, Wire.map());
        if (!body.hasNonNull("vara") || !body.hasNonNull("jornada")) return Reply.of(400, Wire.map());
        boolean isTaken = body.get("vara").longValue() >= token && body.get("jornada").longValue() == session;
        journal.line(id + " is sent commands: " + brief(body) + "; answer " + (isTaken ? 200 : 409));
        if (!isTaken) return Reply.of(409, describe());
        accept(body);
        return Reply.of(200, describe());
    }

    @Override
    public void close() {
        open = false;
        server.stop(0);
        synchronized (this) {
            for (Task task : tasks.values()) if (task.state.equals("running")) exit(task, "machine gone");
            tasks.clear();
        }
    }
}
