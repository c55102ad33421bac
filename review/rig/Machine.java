import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A machine with its worker, as the page of the protocols describes them. */
final class Machine {
    static final class Task {
        final String name;
        final long attempt;
        String state = "pulling";
        String why;
        boolean kept;
        double runsAt;
        double endsAt;
        double startedAt;
        double flushedS;
        Rig.JobInfo job;
        boolean on;

        Task(String name, long attempt) {
            this.name = name;
            this.attempt = attempt;
        }

        public String toString() { return name + "#" + attempt; }
    }

    final String name;
    final Cloud.Type type;
    final String zone;
    final boolean spot;
    final double rentedAt = Log.now();
    private final double bootS;
    private final Rig rig;
    private final Random random;
    private final HttpServer server;
    private final HttpClient client = Http.newClient();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new LinkedHashSet<>();
    private long session = 1;
    private long sequence;
    private long token;
    private double leaseFrom;
    private double lastSent;
    private double nextReport;
    private boolean changed;
    private double lastTokenChange;
    private int node;
    private boolean up;
    private boolean gone;
    private Double noticeAt;
    volatile Double diedAt;
    /** Faults. */
    volatile boolean mute, deaf;
    private volatile boolean hung;
    volatile double lateCommandShare, lateReportShare;
    volatile boolean keepsReportForNextLeader;
    volatile long answerDelayMs;
    /** Messages to and from the nodes outside are held and delivered when the cut ends. */
    private volatile boolean cut;
    volatile double repeatShare;
    volatile double slow = 1;
    /** Every task fails here. */
    volatile boolean faulty;

    Machine(Rig rig, String name, Cloud.Type type, String zone, boolean spot, double bootS) {
        this.rig = rig;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.bootS = bootS;
        random = new Random(rig.seed * 31 + name.hashCode());
        node = random.nextInt(rig.nodes);
        try {
            server = Http.serve(0, this::serve);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    String address() { return "127.0.0.1:" + server.getAddress().getPort(); }

    synchronized boolean isUp() { return up; }

    synchronized boolean isHung() { return hung; }

    synchronized int taskCount() { return tasks.size(); }

    synchronized List<Task> running() {
        List<Task> list = new ArrayList<>();
        for (Task task : tasks.values()) if (task.on) list.add(task);
        return list;
    }

    void start() {
        Thread beats = new Thread(this::run);
        beats.setDaemon(true);
        beats.start();
        Thread work = new Thread(this::work);
        work.setDaemon(true);
        work.start();
    }

    void gone(String why) {
        synchronized (this) {
            if (gone) return;
            gone = true;
            Log.line(name, "gone: " + why);
            dropAll("machine gone");
        }
        server.stop(0);
    }

    void notice(double seconds) {
        synchronized (this) {
            noticeAt = Log.now() + seconds;
            changed = true;
        }
    }

    /** A hanging machine does nothing at all; it may go on later. */
    void hang(boolean hangs) {
        synchronized (this) {
            hung = hangs;
            Log.line(name, hangs ? "hangs" : "goes on");
            if (!hangs) {
                checkLease();
                notifyAll();
            }
        }
    }

    void cut(boolean isCut) {
        synchronized (this) {
            cut = isCut;
            notifyAll();
        }
    }

    private void awaitNoCut() {
        synchronized (this) {
            while (cut && !gone) {
                try {
                    wait(1000);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private void awaitAwake() {
        synchronized (this) {
            while (hung && !gone) {
                try {
                    wait(1000);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private void checkLease() {
        if (!up || gone) return;
        if (Log.now() - leaseFrom <= rig.leaseS) return;
        if (!tasks.isEmpty()) Log.line(name, "lease over, session " + session + ", kills " + tasks.values());
        dropAll("lease over");
        session++;
        sequence = 0;
        leaseFrom = Log.now();
        changed = true;
    }

    private void dropAll(String why) {
        for (Task task : tasks.values()) leave(task, why);
        tasks.clear();
    }

    private void leave(Task task, String why) {
        if (task.on) {
            task.on = false;
            // What a task has saved by itself is kept, too.
            if (task.job.saveEveryS > 0 && !task.kept) {
                rig.progress.save(task.name, Math.floor((Log.now() - task.startedAt) / task.job.saveEveryS) * task.job.saveEveryS);
            }
            rig.checker.off(this, task, why);
        }
    }

    /** Advances the tasks. */
    private void work() {
        while (true) {
            Store.sleep(20);
            synchronized (this) {
                if (gone) return;
                if (!up) {
                    if (Log.now() - rentedAt < bootS) continue;
                    up = true;
                    leaseFrom = Log.now();
                    nextReport = Log.now();
                    Log.line(name, "up: " + type.name + " " + zone + (spot ? " spot" : ""));
                }
                // The tasks of a machine that hangs don't run either once its lease is over.
                checkLease();
                if (hung) continue;
                double now = Log.now();
                if (noticeAt != null && now >= noticeAt) {
                    Http.THREADS.execute(() -> rig.cloud.remove(name, "taken back"));
                    continue;
                }
                for (Task task : new ArrayList<>(tasks.values())) advance(task, now);
            }
        }
    }

    private void advance(Task task, double now) {
        if (task.state.equals("pulling") && now >= task.runsAt) {
            task.state = "running";
            images.add(task.job.image);
            task.on = true;
            rig.checker.on(this, task);
            boolean done = rig.checker.isDone(task.name);
            task.startedAt = now;
            task.endsAt = faulty ? now + 1 : done ? now : task.job.daemon ? Double.MAX_VALUE : now + rig.progress.leftS(task.name, task.job, random) * slow;
            changed = true;
        }
        if (task.state.equals("running") && now >= task.endsAt) {
            exit(task, faulty || rig.failShare > 0 && random.nextDouble() < rig.failShare ? "error" : "done");
        }
        if (task.state.equals("flushing") && now >= task.endsAt) {
            task.kept = true;
            rig.progress.save(task.name, task.flushedS);
            exit(task, "halted");
        }
    }

    private void exit(Task task, String why) {
        task.state = "exited";
        task.why = why;
        if (why.equals("done")) rig.checker.done(this, task);
        leave(task, why);
        changed = true;
    }

    private Map<String, Object> report() {
        List<Object> list = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> item = Wire.map("tarea", task.name, "intento", task.attempt, "estado", task.state);
            if (task.why != null) item.put("motivo", task.why);
            if (task.kept) item.put("kept", true);
            list.add(item);
        }
        return Wire.map("burro", name, "addr", address(), "hornada", type.name, "comarca", zone, "prestados", spot,
            "jornada", session, "folio", ++sequence, "vara", token, "avisoS", noticeAt == null ? null : Math.max(0.0, noticeAt - Log.now()),
            "tareas", list);
    }

    private void run() {
        while (true) {
            Map<String, Object> report = null;
            long sentSession = 0;
            double sentAt = 0;
            int target;
            synchronized (this) {
                if (gone) return;
                double now = Log.now();
                if (up && !hung && (now >= nextReport || changed) && now - lastSent >= 0.5) {
                    changed = false;
                    lastSent = now;
                    nextReport = now + rig.reportS * (0.75 + random.nextDouble() * 0.5);
                    report = report();
                    sentSession = session;
                    sentAt = now;
                }
                target = node;
            }
            if (report == null) {
                Store.sleep(20);
                continue;
            }
            send(report, sentSession, sentAt, target);
        }
    }

    private void send(Map<String, Object> report, long sentSession, double sentAt, int target) {
        if (random.nextDouble() < lateReportShare) {
            long later = 2000 + random.nextInt((int) (rig.leaseS * 1500));
            int other = random.nextInt(rig.nodes);
            Http.THREADS.execute(() -> {
                Store.sleep(later);
                Http.call(client, rig.port(other), "POST", "/agent/beat", report, 4000);
            });
        }
        if (keepsReportForNextLeader) rig.keepForNextLeader(report);
        Http.Reply reply = null;
        if (cut && !rig.zones[target % rig.zones.length].equals(zone)) {
            Http.THREADS.execute(() -> {
                awaitNoCut();
                Http.call(client, rig.port(target), "POST", "/agent/beat", report, 4000);
            });
            Store.sleep(4000);
        } else if (mute || rig.cutWorkers[target]) {
            Store.sleep(4000);
        } else {
            reply = Http.call(client, rig.port(target), "POST", "/agent/beat", report, 4000);
            if (answerDelayMs > 0) Store.sleep(random.nextInt((int) answerDelayMs));
            if (deaf) {
                reply = null;
                Store.sleep(Math.max(0, (long) ((sentAt + 4 - Log.now()) * 1000)));
            }
        }
        awaitAwake();
        if (Log.now() - sentAt > 4) reply = null;
        Log.line(name, "report to n" + target + " " + report.get("jornada") + "." + report.get("folio") + " vara " + report.get("vara") + " " + report.get("tareas")
            + ": " + (reply == null ? "no answer" : reply.status + " " + reply.body));
        synchronized (this) {
            if (gone) return;
            checkLease();
            if (reply != null && reply.status == 200) {
                Object given = reply.body == null ? null : reply.body.get("vara");
                if (sentSession != session || given == null || Wire.num(given) < token) {
                    Log.line(name, "drops an answer of n" + target);
                    return;
                }
                see(Wire.num(given));
                leaseFrom = Math.max(leaseFrom, sentAt);
                execute(reply.body.get("ordenes"), "n" + target);
                return;
            }
        }
        if (reply != null && reply.status == 421 && reply.body != null && reply.body.get("capataz") != null) {
            int named = rig.nodeOf((String) reply.body.get("capataz"));
            if (named >= 0 && named != target) {
                Store.sleep(random.nextInt(500));
                synchronized (this) {
                    node = named;
                    nextReport = 0;
                }
                return;
            }
        }
        Store.sleep(1000);
        synchronized (this) {
            node = (target + 1) % rig.nodes;
            nextReport = 0;
        }
    }

    private void see(long given) {
        if (given > token) {
            token = given;
            if (Log.now() - lastTokenChange >= rig.leaseS / 2) {
                lastTokenChange = Log.now();
                changed = true;
            }
        }
    }

    private Http.Reply serve(String method, String path, Map<String, String> query, byte[] body) {
        synchronized (this) {
            if (!up) return null;
        }
        if (deaf) {
            Store.sleep(5000);
            return null;
        }
        awaitNoCut();
        awaitAwake();
        if (path.equals("/inspect")) {
            synchronized (this) {
                checkLease();
                return new Http.Reply(200, report());
            }
        }
        if (!path.equals("/do")) return new Http.Reply(404, null);
        if (random.nextDouble() < lateCommandShare) {
            long later = 2000 + random.nextInt(14_000);
            Http.THREADS.execute(() -> {
                Store.sleep(later);
                Http.Reply reply = command(Wire.unpackMap(body));
                Log.line(name, "late command after " + later + " ms: " + reply.status);
            });
            Store.sleep(5000);
            return null;
        }
        if (random.nextDouble() < repeatShare) {
            long later = 500 + random.nextInt(20_000);
            Http.THREADS.execute(() -> {
                Store.sleep(later);
                command(Wire.unpackMap(body));
            });
        }
        return command(Wire.unpackMap(body));
    }

    private Http.Reply command(Map<String, Object> request) {
        awaitAwake();
        synchronized (this) {
            if (gone) return new Http.Reply(409, Wire.map());
            checkLease();
            if (request.get("vara") == null || request.get("jornada") == null) return new Http.Reply(400, null);
            if (Wire.num(request.get("vara")) < token || Wire.num(request.get("jornada")) != session) {
                Log.line(name, "/do " + request + ": 409");
                return new Http.Reply(409, report());
            }
            see(Wire.num(request.get("vara")));
            Log.line(name, "/do " + request + ": 200");
            execute(request.get("ordenes"), "/do");
            return new Http.Reply(200, report());
        }
    }

    private void execute(Object commands, String from) {
        if (commands == null) return;
        for (Object item : (List<?>) commands) {
            Map<?, ?> command = (Map<?, ?>) item;
            String key = command.get("tarea") + "#" + command.get("intento");
            Task task = tasks.get(key);
            Log.line(name, command.get("orden") + " " + key + " from " + from);
            switch ((String) command.get("orden")) {
                case "run":
                    if (task == null) run((String) command.get("tarea"), Wire.num(command.get("intento")), key);
                    break;
                case "stop":
                    if (task != null) stop(task, Wire.dbl(command.get("graciaS")));
                    break;
                default:
                    if (task != null && task.state.equals("exited")) {
                        tasks.remove(key);
                        changed = true;
                    }
            }
        }
    }

    private void run(String task, long attempt, String key) {
        Task started = new Task(task, attempt);
        tasks.put(key, started);
        changed = true;
        started.job = rig.job(task.substring(0, task.lastIndexOf('/')));
        if (started.job == null || Integer.parseInt(task.substring(task.lastIndexOf('/') + 1)) >= started.job.tasks) {
            refuse(started, "unknown");
            return;
        }
        double cpus = 0;
        double memory = 0;
        for (Task other : tasks.values()) {
            if (other == started || other.state.equals("exited")) continue;
            if (other.name.equals(task)) {
                refuse(started, "in_use");
                return;
            }
            cpus += other.job.cpus;
            memory += other.job.memoryGb;
        }
        if (cpus + started.job.cpus > type.cpus + 1e-9 || memory + started.job.memoryGb > type.memoryGb + 1e-9) {
            refuse(started, "no_room");
            return;
        }
        rig.checker.starts(this, started);
        double fetch = images.contains(started.job.image) ? 0 : started.job.pullGb / type.fetchGbPerS * (0.7 + random.nextDouble() * 0.6);
        started.runsAt = Log.now() + fetch;
        advance(started, Log.now());
    }

    private void refuse(Task task, String why) {
        task.state = "exited";
        task.why = why;
    }

    private void stop(Task task, double graceS) {
        if (task.state.equals("exited")) return;
        if (task.state.equals("running") && task.job.saveEveryS > 0 && graceS >= task.job.saveS) {
            task.state = "flushing";
            task.flushedS = Log.now() - task.startedAt;
            task.endsAt = Log.now() + task.job.saveS;
            changed = true;
            return;
        }
        if (task.state.equals("flushing") && graceS > 0) return;
        exit(task, "halted");
    }
}
