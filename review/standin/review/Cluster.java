package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import review.Wire.Reply;

/** The controllers: processes of the deploy file's command, with the settings of the small Andino deployment. */
final class Cluster implements AutoCloseable {
    private final Journal journal;
    private final Path root;
    private final Path dir;
    private final List<String> command = new ArrayList<>();
    private final int[] ports;
    private final int[] internalPorts;
    private final Process[] processes;
    /** Where a controller finds another one; the address of a link if there is one between them. */
    private final Link[][] links;
    private int[] statePorts;
    private int cloudPort;
    ObjectNode settings;

    Cluster(Journal journal, Path root, Path dir, int nodes) throws IOException {
        this.journal = journal;
        this.root = root;
        this.dir = dir;
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                command.addAll(Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
            }
        }
        if (command.isEmpty()) throw new IOException("no run command in deploy/service.toml");
        ports = new int[nodes];
        internalPorts = new int[nodes];
        processes = new Process[nodes];
        links = new Link[nodes][nodes];
        for (int node = 0; node < nodes; node++) {
            ports[node] = Wire.freePort();
            internalPorts[node] = Wire.freePort();
        }
        settings = andino(nodes);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** The part `cluster` of the settings, as on the pages for the first Andino deployment. */
    private static ObjectNode andino(int nodes) {
        ObjectNode cluster = Wire.map().put("initial_size", nodes);
        cluster.putArray("zones").add("quito-norte");
        ArrayNode teams = cluster.putArray("teams");
        for (String team : new String[] {"despacho", "uni-movilidad"}) {
            teams.addObject().put("name", team).put("cpus", 0.0).put("cpus_max", 0.0).put("gpus", 0.0).put("gpus_max", 0.0);
        }
        ArrayNode aims = cluster.putArray("objectives");
        aims.addObject().put("kind", "finished").put("class", "fare-recon").put("within_s", 60.0).put("share", 0.88);
        aims.addObject().put("kind", "finished").put("class", "fare-recon").put("within_s", 150.0).put("share", 0.97);
        aims.addObject().put("kind", "wait").put("class", "dispatch-live").put("within_s", 1.0).put("share", 0.94);
        cluster.putObject("workers").put("report_s", 3.0).put("lease_s", 34.0).put("gang_wait_s", 40.0).put("gang_peer_s", 6.0)
            .put("cancel_s", 64.0);
        cluster.putObject("state").put("rps", 150.0).put("write_rps", 60.0).put("value_kb", 16.0).put("txn_ops", 32);
        cluster.putObject("cloud").put("rps", 6.0).put("list_lag_s", 6.0);
        cluster.putObject("resources").put("cpu", 0.425).put("memory_mb", 325.0).put("max_sockets", 3000);
        return cluster.put("skew_ms", 100.0);
    }

    /** Puts a link between each two controllers, for each direction in which connections are opened. */
    void addLinks() throws IOException {
        for (int from = 0; from < size(); from++) {
            for (int to = 0; to < size(); to++) if (from != to) links[from][to] = new Link(internalPorts[to]);
        }
    }

    Link link(int from, int to) {
        return links[from][to];
    }

    private int peerPort(int from, int to) {
        return links[from][to] == null ? internalPorts[to] : links[from][to].port;
    }

    void connect(int[] statePorts, int cloudPort) {
        this.statePorts = statePorts;
        this.cloudPort = cloudPort;
    }

    int size() {
        return ports.length;
    }

    int port(int node) {
        return ports[node];
    }

    int indexOf(String member) {
        return member != null && member.matches("burro-\\d+") && Integer.parseInt(member.substring(6)) < size()
            ? Integer.parseInt(member.substring(6)) : -1;
    }

    long leaseMs() {
        return (long) (settings.get("workers").get("lease_s").doubleValue() * 1000);
    }

    long reportMs() {
        return (long) (settings.get("workers").get("report_s").doubleValue() * 1000);
    }

    void start(int node) throws IOException {
        ObjectNode file = Wire.map().put("member", "burro-" + node).put("domain", "quito-norte")
            .put("bind", "127.0.0.1:" + ports[node]).put("internal_addr", "127.0.0.1:" + internalPorts[node]);
        ArrayNode seeds = file.putArray("seeds");
        for (int other = 0; other < size(); other++) {
            if (other != node) {
                seeds.addObject().put("member", "burro-" + other).put("domain", "quito-norte").put("addr", "127.0.0.1:" + peerPort(node, other));
            }
        }
        file.putObject("outside").put("cloud", "127.0.0.1:" + cloudPort).put("state", "127.0.0.1:" + statePorts[node]);
        file.set("cluster", settings);
        Path path = dir.resolve("burro-" + node + ".json");
        new ObjectMapper().writeValue(path.toFile(), file);
        List<String> whole = new ArrayList<>(command);
        whole.add(path.toString());
        ProcessBuilder builder = new ProcessBuilder(whole).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().putIfAbsent("LOG_LEVEL", "info");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(dir.toFile(), "burro-" + node + ".log")));
        processes[node] = builder.start();
        journal.line("controller burro-" + node + " is started");
    }

    void startAll() throws IOException {
        for (int node = 0; node < size(); node++) start(node);
    }

    void kill(int node) {
        Process process = processes[node];
        if (process == null) return;
        process.destroyForcibly();
        processes[node] = null;
        journal.line("controller burro-" + node + " is killed");
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends [signal] (STOP or CONT) to a controller. */
    void signal(int node, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes[node].pid())).inheritIO().start().waitFor();
        journal.line("controller burro-" + node + " gets signal " + signal);
    }

    boolean isAlive(int node) {
        return processes[node] != null && processes[node].isAlive();
    }

    /** A user's request to [node]; the answer goes into the record. */
    Reply user(int node, String method, String path, ObjectNode body) {
        Reply reply = Wire.call(port(node), method, path, body, method.equals("GET") ? 2000 : 5000);
        journal.line("user: " + method + " " + path + " at burro-" + node + ": "
            + (reply == null ? "no answer" : reply.status() + " " + Wire.json(reply.body())));
        return reply;
    }

    /** Submits the job, with retries after 1 s for up to [forS]; the load balancer changes the node. */
    boolean submit(Job job, int forS) {
        long endMs = Wire.nowMs() + forS * 1000L;
        for (int turn = 0; Wire.nowMs() < endMs; turn++) {
            Reply reply = user(turn % size(), "POST", "/submissions", job.submission());
            if (reply != null && (reply.status() == 201 || reply.status() == 200)) return true;
            Wire.sleep(1000);
        }
        return false;
    }

    /** Waits until some node answers a question about an unknown job, so that there is a leader; false after [forS]. */
    boolean awaitLeader(int forS) {
        long endMs = Wire.nowMs() + forS * 1000L;
        while (Wire.nowMs() < endMs) {
            for (int node = 0; node < size(); node++) {
                if (!isAlive(node)) continue;
                Reply reply = user(node, "GET", "/submissions/j-999999", null);
                if (reply != null && reply.status() == 404) return true;
            }
            Wire.sleep(100);
        }
        return false;
    }

    @Override
    public void close() {
        for (int node = 0; node < size(); node++) {
            Process process = processes[node];
            if (process != null) process.destroyForcibly();
        }
    }
}
