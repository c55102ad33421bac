import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Random days: disruptions at random times, alone and together. */
public final class Hunt {
    private static Rig rig;
    private static Users users;
    private static Random random;
    private static boolean storm;

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        long seed = Long.parseLong(args[1]);
        double seconds = Double.parseDouble(args[2]);
        Path dir = Path.of(args[3]);
        Files.createDirectories(dir);
        Log.open(dir.resolve("record.txt"));
        random = new Random(seed);
        String kind = args.length > 4 ? args[4] : "";
        storm = kind.equals("storm");
        boolean andino = kind.equals("andino");
        String[] zones = andino ? new String[] {"quito-norte"} : new String[] {"sala-bilbao", "sala-santander"};
        rig = new Rig(root, dir, seed, andino ? 5 : 3, zones, 100, 40);
        rig.logLevel = "debug";
        if (andino) rig.cloud.capacity = 60;
        rig.limits.put("cobro-1", andino ? 0.0 : 24.0);
        rig.limits.put("cobro-2", andino ? 0.0 : 16.0);
        rig.limits.put("cobro-3", 0.0);
        rig.cloud.types.put("menuda", new Cloud.Type("menuda", 4, 16, 0.29, 0.08, 12, 0.5, List.of(zones)));
        rig.cloud.types.put("robusta", new Cloud.Type("robusta", 16, 64, 1.19, 0.32, 6, 0.5, List.of(zones)));
        rig.cloud.fastBoot = random.nextInt(3) == 0;
        for (int i = 0; i < 4; i++) rig.cloud.add(rig.cloud.types.get(i < 2 ? "menuda" : "robusta"), zones[i % zones.length], false, 0.1);
        for (int i = 0; i < rig.nodes; i++) rig.start(i);
        rig.awaitReady(30);
        users = new Users(rig, seed + 5);
        users.closeLooks = random.nextBoolean();
        if (random.nextInt(3) == 0) rig.failShare = 0.1;
        Thread checks = new Thread(() -> {
            while (true) {
                Store.sleep(500);
                rig.checker.checkCancelled();
            }
        });
        checks.setDaemon(true);
        checks.start();
        double end = Log.now() + seconds;
        double pace = andino ? 4 : 0.5 + random.nextDouble();
        Thread arrivals = new Thread(() -> {
            while (Log.now() < end) {
                users.live(users.newJob(), 0.25);
                Store.sleep((long) (users.draw() * 2000 / pace));
            }
        });
        arrivals.setDaemon(true);
        arrivals.start();
        Store.sleep(5000);
        while (Log.now() < end) {
            int count = 1 + random.nextInt(2);
            for (int i = 0; i < count; i++) trouble(end);
            Store.sleep(storm ? 200 + random.nextInt(4000) : 1000 + random.nextInt(15_000));
        }
        // All troubles end by then.
        Store.sleep(45_000);
        for (int i = 0; i < rig.nodes; i++) if (!rig.processes[i].isAlive()) rig.start(i);
        Log.line("rig", "all troubles are over");
        double calm = Log.now();
        double until = calm + 110;
        int open = 0;
        while (Log.now() < until) {
            open = 0;
            for (Rig.JobInfo job : rig.jobs.values()) if (job.acceptedAt != null && !job.daemon && job.doneAt == null && job.cancelledAt == null) open++;
            if (open == 0 && Log.now() > calm + 10) break;
            Store.sleep(500);
        }
        for (Rig.JobInfo job : rig.jobs.values()) {
            if (job.acceptedAt == null || job.daemon || job.doneAt != null || job.cancelledAt != null) continue;
            Log.line("rig", "open: " + job.id + " tasks " + job.tasks + " done " + rig.checker.doneCount(job) + " on " + rig.checker.onCount(job.id)
                + " last answer " + job.lastAnswerAt + " " + job.body());
        }
        users.open = false;
        System.out.printf("seed %d: %d jobs, %d starts, %d runs, %d answered, %d not, open %d, machines %d, broken %s%n", seed, rig.jobs.size(),
            rig.checker.starts, rig.checker.runs, users.answered, users.unanswered, open, rig.cloud.machines.size(), Log.BROKEN);
        System.exit(Log.BROKEN.isEmpty() ? 0 : 1);
    }

    private static void later(double seconds, Runnable action) {
        Http.THREADS.execute(() -> {
            Store.sleep((long) (seconds * 1000));
            action.run();
        });
    }

    private static int node() {
        int leader = rig.leader();
        return leader >= 0 && random.nextInt(3) > 0 ? leader : random.nextInt(rig.nodes);
    }

    private static List<Machine> some(int most) {
        List<Machine> all;
        synchronized (rig.cloud) {
            all = new ArrayList<>(rig.cloud.machines.values());
        }
        all.removeIf(m -> !m.isUp());
        java.util.Collections.shuffle(all, random);
        return all.subList(0, Math.min(all.size(), 1 + random.nextInt(most)));
    }

    private static void startLater(int node, double seconds) {
        later(seconds, () -> {
            try {
                if (!rig.processes[node].isAlive()) rig.start(node);
            } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private static void trouble(double end) {
        double room = Math.max(3, Math.min(40, end + 40 - Log.now()));
        double length = 1 + random.nextDouble() * (random.nextInt(3) == 0 && !storm ? room : Math.min(room, storm ? 6 : 12));
        int kind = random.nextInt(26);
        int node = node();
        Log.line("rig", "trouble " + kind + " node " + node + " for " + length);
        switch (kind) {
            case 0: case 1: {
                rig.kill(node);
                startLater(node, random.nextInt(3) == 0 ? 0.1 : 5);
                break;
            }
            case 2: {
                for (int i = 0; i < rig.nodes; i++) {
                    rig.kill(i);
                    startLater(i, random.nextInt(3) == 0 ? Math.min(room, 38) : 0.2 + random.nextDouble() * 5);
                }
                break;
            }
            case 3: {
                rig.store.outage(true);
                later(length, () -> rig.store.outage(false));
                break;
            }
            case 4: case 5: case 6: {
                Store.Mode mode = new Store.Mode[] {Store.Mode.REFUSE, Store.Mode.HOLD, Store.Mode.DROP, Store.Mode.RESET}[random.nextInt(4)];
                rig.cutState(node, mode);
                later(length, () -> rig.cutState(node, Store.Mode.OK));
                break;
            }
            case 7: {
                rig.cutState(node, Store.Mode.HOLD);
                rig.cutPeers(node, Proxy.Mode.HOLD);
                later(length, () -> {
                    rig.cutState(node, Store.Mode.OK);
                    rig.cutPeers(node, Proxy.Mode.OPEN);
                });
                break;
            }
            case 8: {
                rig.cutPeers(node, random.nextBoolean() ? Proxy.Mode.REFUSE : Proxy.Mode.HOLD);
                later(length, () -> rig.cutPeers(node, Proxy.Mode.OPEN));
                break;
            }
            case 9: case 10: {
                rig.signal(node, "STOP");
                later(length, () -> rig.signal(node, "CONT"));
                break;
            }
            case 11: {
                double share = random.nextDouble() * 0.6;
                for (Store.Caller caller : rig.store.callers) caller.lateShare = share;
                later(length, () -> { for (Store.Caller caller : rig.store.callers) caller.lateShare = 0; });
                break;
            }
            case 12: {
                double share = random.nextDouble() * 0.6;
                for (Store.Caller caller : rig.store.callers) caller.lostShare = share;
                later(length, () -> { for (Store.Caller caller : rig.store.callers) caller.lostShare = 0; });
                break;
            }
            case 13: {
                int delay = 100 + random.nextInt(1500);
                for (Store.Caller caller : rig.store.callers) caller.delayMs = delay;
                later(length, () -> { for (Store.Caller caller : rig.store.callers) caller.delayMs = 0; });
                break;
            }
            case 14: {
                for (Machine m : some(3)) {
                    m.hang(true);
                    later(length, () -> m.hang(false));
                }
                break;
            }
            case 15: {
                for (Machine m : some(3)) {
                    m.mute = true;
                    later(length, () -> m.mute = false);
                }
                break;
            }
            case 16: {
                for (Machine m : some(4)) {
                    m.deaf = true;
                    later(length, () -> m.deaf = false);
                }
                break;
            }
            case 17: {
                double share = random.nextDouble() * 0.6;
                for (Machine m : some(30)) {
                    m.lateCommandShare = share;
                    later(length, () -> m.lateCommandShare = 0);
                }
                break;
            }
            case 18: {
                for (Machine m : some(30)) {
                    m.lateReportShare = 0.3;
                    later(length, () -> m.lateReportShare = 0);
                }
                break;
            }
            case 19: {
                for (Machine m : some(30)) {
                    m.keepsReportForNextLeader = true;
                    later(8, () -> m.keepsReportForNextLeader = false);
                }
                later(8, () -> {
                    rig.kill(node);
                    startLater(node, 3);
                    Store.sleep(200);
                    List<Map<String, Object>> kept = rig.takeKept();
                    double stop = Log.now() + 6;
                    while (Log.now() < stop) {
                        for (Map<String, Object> report : kept) {
                            for (int i = 0; i < rig.nodes; i++) {
                                int to = i;
                                Http.THREADS.execute(() -> Http.call(rig.port(to), "POST", "/agent/beat", report, 4000));
                            }
                        }
                        Store.sleep(1500);
                    }
                });
                break;
            }
            case 20: {
                for (Machine m : some(3)) {
                    if (random.nextBoolean()) rig.cloud.remove(m.name, "died");
                    else m.notice(10 + random.nextDouble() * 20);
                }
                break;
            }
            case 21: {
                String zone = rig.zones[random.nextInt(rig.zones.length)];
                List<Machine> cut = some(1000);
                cut.removeIf(m -> !m.zone.equals(zone));
                List<Machine> machines = new ArrayList<>(cut);
                machines.forEach(m -> m.cut(true));
                for (int i = 0; i < rig.nodes; i++) {
                    if (!rig.zones[i % rig.zones.length].equals(zone)) continue;
                    rig.cutState(i, Store.Mode.HOLD);
                    for (int j = 0; j < rig.nodes; j++) {
                        if (rig.zones[j % rig.zones.length].equals(zone)) continue;
                        rig.peers[i][j].set(Proxy.Mode.HOLD);
                        rig.peers[j][i].set(Proxy.Mode.HOLD);
                    }
                }
                later(length, () -> {
                    for (int i = 0; i < rig.nodes; i++) {
                        if (!rig.zones[i % rig.zones.length].equals(zone)) continue;
                        rig.cutState(i, Store.Mode.OK);
                        rig.cutPeers(i, Proxy.Mode.OPEN);
                    }
                    machines.forEach(m -> m.cut(false));
                });
                break;
            }
            case 22: {
                for (Machine m : some(30)) {
                    m.answerDelayMs = 5000;
                    later(length, () -> m.answerDelayMs = 0);
                }
                break;
            }
            case 23: {
                for (Machine m : some(30)) {
                    m.repeatShare = 0.7;
                    later(length, () -> m.repeatShare = 0);
                }
                break;
            }
            default: {
                rig.cutWorkers[node] = true;
                later(length, () -> rig.cutWorkers[node] = false);
            }
        }
    }
}
