import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment on loopback addresses: controllers as processes, and stand-ins for everything else. */
final class Rig implements AutoCloseable {
    static final class JobInfo {
        String id, team, image, zone;
        Set<String> types;
        int tasks;
        double cpus, memoryGb, pullGb, aproxS, saveEveryS, saveS;
        boolean daemon, oneZone, scatter, spot;
        String urgency = "normal";
        Double minRun, maxRun;
        volatile Double acceptedAt, cancelledAt, doneAt;
        volatile boolean cancelAsked;
        volatile double lastAnswerAt;
        boolean reported;

        double runS(Random random) { return minRun + random.nextDouble() * (maxRun - minRun); }

        Map<String, Object> body() {
            return Wire.map("nameId", id, "cuadrilla", daemon ? "portal-pago" : "remesa-match", "ownerCrew", team, "oficio",
                daemon ? "daemon" : "array", "urgencia", urgency, "tareas", tasks, "vcpus", cpus, "gpus", 0.0, "memoryGb", memoryGb,
                "imagen", image, "pullGb", pullGb, "hornadas", types == null ? null : new ArrayList<Object>(types), "comarca", zone,
                "oneZone", oneZone, "scatter", scatter, "prestados", spot, "aproxS", aproxS, "hitoS", saveEveryS, "guardadoS", saveS,
                "plazoS", null);
        }
    }

    final int nodes;
    final long seed;
    double reportS = 3, leaseS = 34, cancelS = 64;
    double failShare;
    /** The aim on the start of the class portal-pago; the controllers' rounds follow from it. */
    double waitS = 1;
    final String[] zones;
    final Map<String, Double> limits = new HashMap<>();
    final Store store;
    final Cloud cloud;
    final Checker checker = new Checker(this);
    final Progress progress = new Progress();
    final Map<String, JobInfo> jobs = new ConcurrentHashMap<>();
    final boolean[] cutWorkers;
    private final int[] ports, internalPorts, storePorts, cloudPorts;
    final Proxy[][] peers;
    final Process[] processes;
    private final Path dir;
    private final Path root;
    private final List<Map<String, Object>> kept = new ArrayList<>();
    String logLevel = "info";

    Rig(Path root, Path dir, long seed, int nodes, String[] zones, double rps, double writeRps) throws IOException {
        this.root = root;
        this.dir = dir;
        this.seed = seed;
        this.nodes = nodes;
        this.zones = zones;
        store = new Store(nodes, rps, writeRps, seed);
        cloud = new Cloud(this, 4, 30, seed + 1);
        cutWorkers = new boolean[nodes];
        processes = new Process[nodes];
        List<Integer> free = Http.freePorts(nodes * 2);
        ports = new int[nodes];
        internalPorts = new int[nodes];
        storePorts = new int[nodes];
        cloudPorts = new int[nodes];
        for (int i = 0; i < nodes; i++) {
            int node = i;
            ports[i] = free.get(2 * i);
            internalPorts[i] = free.get(2 * i + 1);
            storePorts[i] = Http.serve(0, (m, p, q, b) -> store.serve(node, m, p, q, b)).getAddress().getPort();
            cloudPorts[i] = Http.serve(0, (m, p, q, b) -> cloud.serve(node, m, p, q, b)).getAddress().getPort();
        }
        peers = new Proxy[nodes][nodes];
        for (int i = 0; i < nodes; i++) for (int j = 0; j < nodes; j++) if (i != j) peers[i][j] = new Proxy(internalPorts[j]);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    int port(int node) { return ports[node]; }

    JobInfo job(String id) { return jobs.get(id); }

    int nodeOf(String member) { return member.startsWith("burro-") ? Integer.parseInt(member.substring(6)) : -1; }

    int leader() {
        String member = store.leader();
        return member == null ? -1 : nodeOf(member);
    }

    int awaitLeader() {
        while (leader() < 0) Store.sleep(50);
        return leader();
    }

    void start(int node) throws IOException {
        Path settings = dir.resolve("burro-" + node + ".json");
        Files.writeString(settings, settings(node));
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(dir.toFile(), "burro-" + node + ".log")));
        builder.environment().put("LOG_LEVEL", logLevel);
        processes[node] = builder.start();
        Log.line("burro-" + node, "started");
    }

    void kill(int node) {
        Log.line("burro-" + node, "killed");
        processes[node].destroyForcibly();
        try {
            processes[node].waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void signal(int node, String signal) {
        Log.line("burro-" + node, "signal " + signal);
        try {
            new ProcessBuilder("kill", "-" + signal, "" + processes[node].pid()).start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean ready(int node) {
        Http.Reply reply = Http.call(ports[node], "GET", "/ready", null, 1000);
        return reply != null && reply.status == 200;
    }

    boolean awaitReady(double seconds) {
        double end = Log.now() + seconds;
        for (int node = 0; node < nodes; node++) {
            while (!ready(node)) {
                if (Log.now() > end) return false;
                Store.sleep(100);
            }
        }
        return true;
    }

    /** Cuts a controller off from the state service, the other controllers or the workers. */
    void cutState(int node, Store.Mode mode) {
        Log.line("burro-" + node, "state service: " + mode);
        store.callers[node].set(mode);
    }

    void cutPeers(int node, Proxy.Mode mode) {
        Log.line("burro-" + node, "other controllers: " + mode);
        for (int other = 0; other < nodes; other++) {
            if (other == node) continue;
            peers[node][other].set(mode);
            peers[other][node].set(mode);
        }
    }

    void keepForNextLeader(Map<String, Object> report) {
        synchronized (kept) {
            kept.add(report);
        }
    }

    List<Map<String, Object>> takeKept() {
        synchronized (kept) {
            List<Map<String, Object>> taken = new ArrayList<>(kept);
            kept.clear();
            return taken;
        }
    }

    private String settings(int node) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < nodes; i++) {
            if (i == node) continue;
            if (seeds.length() > 0) seeds.append(',');
            seeds.append("{\"member\":\"burro-" + i + "\",\"domain\":\"" + zones[i % zones.length] + "\",\"addr\":\"127.0.0.1:" + peers[node][i].port() + "\"}");
        }
        StringBuilder teams = new StringBuilder();
        limits.forEach((name, limit) -> {
            if (teams.length() > 0) teams.append(',');
            teams.append("{\"name\":\"" + name + "\",\"cpus\":" + limit / 3 + ",\"cpus_max\":" + limit + ",\"gpus\":0.0,\"gpus_max\":0.0}");
        });
        return "{\"member\":\"burro-" + node + "\",\"domain\":\"" + zones[node % zones.length] + "\",\"bind\":\"127.0.0.1:" + ports[node]
            + "\",\"internal_addr\":\"127.0.0.1:" + internalPorts[node] + "\",\"seeds\":[" + seeds + "],\"outside\":{\"cloud\":\"127.0.0.1:"
            + cloudPorts[node] + "\",\"state\":\"127.0.0.1:" + storePorts[node] + "\"},\"cluster\":{\"initial_size\":" + nodes + ",\"zones\":[\""
            + String.join("\",\"", zones) + "\"],\"teams\":[" + teams + "],\"objectives\":[{\"kind\":\"finished\",\"class\":\"remesa-match\",\"within_s\":70.0,"
            + "\"share\":0.9},{\"kind\":\"wait\",\"class\":\"portal-pago\",\"within_s\":" + waitS + ",\"share\":0.9}],\"workers\":{\"report_s\":" + reportS
            + ",\"lease_s\":" + leaseS + ",\"gang_wait_s\":50.0,\"gang_peer_s\":8.0,\"cancel_s\":" + cancelS + "},\"state\":{\"rps\":100.0,\"write_rps\":40.0,"
            + "\"value_kb\":16.0,\"txn_ops\":32},\"cloud\":{\"rps\":4.0,\"list_lag_s\":4.0},\"resources\":{\"cpu\":0.34,\"memory_mb\":325.0,"
            + "\"max_sockets\":2000},\"skew_ms\":100.0}}";
    }

    @Override
    public void close() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
        for (Process process : processes) {
            try {
                if (process != null) process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
