import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The cases of this review. Exits with 11 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
public final class Cases {
    private static final String BILBAO = "sala-bilbao";
    private static final String SANTANDER = "sala-santander";
    private static Rig rig;
    private static Users users;

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[2]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Log.open(folder.resolve("record.txt"));
        Path dir = Files.createTempDirectory("cleathitch-case");
        int result = 2;
        Thread limit = new Thread(() -> {
            Store.sleep(117_000);
            Log.line("rig", "the case takes too long");
            if (rig != null) rig.close();
            Runtime.getRuntime().halt(2);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            rig = new Rig(root, dir, 1, 3, new String[] {BILBAO, SANTANDER}, 100, 40);
            users = new Users(rig, 7);
            rig.limits.put("sistemas-cobro", 48.0);
            rig.cloud.types.put("robusta", new Cloud.Type("robusta", 16, 64, 1.19, 0.32, 15, 0.2, List.of(BILBAO, SANTANDER)));
            rig.cloud.types.put("menuda", new Cloud.Type("menuda", 4, 16, 0.29, 0.08, 40, 0.3, List.of(SANTANDER)));
            result = run(args[1], trouble);
        } catch (Exception | AssertionError e) {
            Log.line("rig", "couldn't run: " + e);
            e.printStackTrace();
        } finally {
            if (rig != null) rig.close();
            try (java.util.stream.Stream<Path> files = Files.walk(dir)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
        Log.line("rig", "result " + result + " " + Log.BROKEN);
        System.out.println("result " + result + " " + Log.BROKEN);
        Runtime.getRuntime().halt(result == 1 ? 11 : result);
    }

    private static int run(String name, boolean trouble) throws Exception {
        switch (name) {
            case "refused-zone": return refusedZone(trouble);
            case "lost-replica": return lostReplica(trouble);
            case "one-zone": return oneZone(trouble);
            case "guarantee": return guarantee(trouble);
            case "urgent": return urgent(trouble);
            default: throw new IllegalArgumentException(name);
        }
    }

    private static void startAll() throws Exception {
        for (int node = 0; node < rig.nodes; node++) rig.start(node);
        if (!rig.awaitReady(20)) throw new IllegalStateException("the controllers aren't ready");
    }

    /** A job of the class portal-pago, as in the site file. */
    private static Rig.JobInfo portal(String id, int tasks) {
        Rig.JobInfo job = new Rig.JobInfo();
        job.id = id;
        job.team = "sistemas-cobro";
        job.daemon = true;
        job.tasks = tasks;
        job.cpus = 1;
        job.memoryGb = 1.8;
        job.image = "img-portal";
        job.pullGb = 1.5;
        job.urgency = "critical";
        job.scatter = true;
        job.minRun = job.maxRun = 0.0;
        rig.jobs.put(id, job);
        return job;
    }

    private static void submit(Rig.JobInfo job) {
        if (!users.submit(job, 20)) throw new IllegalStateException(job.id + " isn't accepted");
    }

    private static boolean awaitOn(Rig.JobInfo job, int count, double until) {
        while (Log.now() < until) {
            if (rig.checker.onCount(job.id) >= count) return true;
            Store.sleep(100);
            if ((int) (Log.now() * 10) % 50 == 0) users.poll(job, users.any());
        }
        return rig.checker.onCount(job.id) >= count;
    }

    /** The first zone has no machine to give; the other one has many. */
    private static int refusedZone(boolean trouble) throws Exception {
        rig.cloud.offers.put("robusta " + BILBAO + " false", trouble ? 0 : 1);
        rig.cloud.offers.put("robusta " + SANTANDER + " false", 1);
        rig.cloud.offers.put("menuda " + SANTANDER + " false", 12);
        startAll();
        Rig.JobInfo job = portal("j-000412", 1);
        submit(job);
        boolean runs = awaitOn(job, 1, 110);
        if (!runs) Log.broken("nothing_ran", job.id + " was accepted at " + job.acceptedAt + " and hasn't been started by " + Log.now());
        return runs ? 0 : 1;
    }

    /** A machine stops with all that is on it. */
    private static int lostReplica(boolean trouble) throws Exception {
        rig.cloud.add(rig.cloud.types.get("robusta"), BILBAO, false, 0.1);
        Machine lost = rig.cloud.add(rig.cloud.types.get("robusta"), SANTANDER, false, 0.1);
        startAll();
        Store.sleep(6000);
        // Other work with the same image makes sala-bilbao the better place, so that two of the three replicas run there.
        Rig.JobInfo other = portal("j-000411", 1);
        other.zone = BILBAO;
        other.scatter = false;
        other.cpus = 13;
        other.pullGb = 0.3;
        submit(other);
        if (!awaitOn(other, 1, 25)) throw new IllegalStateException("the other work doesn't run");
        Rig.JobInfo job = portal("j-000412", 3);
        job.pullGb = 0.3;
        submit(job);
        if (!awaitOn(job, 3, 30)) throw new IllegalStateException("the replicas don't run");
        if (lost.running().size() != 1) throw new IllegalStateException("the replicas run in other places");
        Store.sleep(500);
        if (trouble) rig.cloud.die(lost);
        double from = Log.now();
        double until = Math.min(from + 91, 114);
        Store.sleep(3000);
        boolean runs = awaitOn(job, 3, until);
        if (!runs) Log.broken("must run", rig.checker.onCount(job.id) + " of 3 tasks of " + job.id + " run " + (Log.now() - from) + " s after the loss");
        return runs ? 0 : 1;
    }

    /** A machine stops with all that is on it; the job is bound to the zone of its other task. */
    private static int oneZone(boolean trouble) throws Exception {
        Machine[] machines = new Machine[2];
        for (int i = 0; i < 2; i++) machines[i] = rig.cloud.add(rig.cloud.types.get("robusta"), SANTANDER, false, 0.1);
        startAll();
        Store.sleep(5000);
        Rig.JobInfo job = portal("j-000412", 2);
        job.pullGb = 0.5;
        job.scatter = false;
        job.oneZone = true;
        job.cpus = 16;
        job.memoryGb = 60;
        submit(job);
        if (!awaitOn(job, 2, 30)) throw new IllegalStateException("the replicas don't run");
        Store.sleep(1000);
        if (trouble) rig.cloud.die(machines[1]);
        double from = Log.now();
        double until = Math.min(from + 91, 114);
        Store.sleep(3000);
        boolean runs = awaitOn(job, 2, until);
        if (!runs) Log.broken("must run", rig.checker.onCount(job.id) + " of 2 tasks of " + job.id + " run " + (Log.now() - from) + " s after the loss");
        return runs ? 0 : 1;
    }

    /** Another team holds all ordinary machines that the cloud has, far beyond its own guarantee. */
    private static int guarantee(boolean trouble) throws Exception {
        rig.limits.put("otros-cobro", 48.0);
        rig.cloud.offers.put("robusta " + BILBAO + " false", 1);
        rig.cloud.offers.put("robusta " + SANTANDER + " false", 1);
        rig.cloud.offers.put("menuda " + SANTANDER + " false", trouble ? 3 : 12);
        rig.cloud.add(rig.cloud.types.get("robusta"), BILBAO, false, 0.1);
        rig.cloud.add(rig.cloud.types.get("robusta"), SANTANDER, false, 0.1);
        for (int i = 0; i < 3; i++) rig.cloud.add(rig.cloud.types.get("menuda"), SANTANDER, false, 0.1);
        startAll();
        Store.sleep(4000);
        List<Rig.JobInfo> borrowers = submitSingles(44, 100, "sistemas-cobro");
        if (!awaitAll(borrowers, 44, 45)) throw new IllegalStateException("the borrowed replicas don't run");
        Store.sleep(2000);
        double from = Log.now();
        List<Rig.JobInfo> guaranteed = submitSingles(4, 500, "otros-cobro");
        boolean runs = awaitAll(guaranteed, 4, Math.min(from + 75, 112));
        if (!runs) {
            Log.broken("guarantee", count(guaranteed) + " of 4 jobs of otros-cobro run " + (Log.now() - from)
                + " s after their submission: 4 of its 16 guaranteed CPUs; sistemas-cobro runs " + count(borrowers) + " CPUs, 16 are guaranteed to it");
        }
        return runs ? 0 : 1;
    }

    private static List<Rig.JobInfo> submitSingles(int count, int first, String team) throws Exception {
        List<Rig.JobInfo> jobs = new java.util.ArrayList<>();
        java.util.concurrent.CountDownLatch accepted = new java.util.concurrent.CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            Rig.JobInfo job = portal(String.format("j-%06d", first + i), 1);
            job.team = team;
            jobs.add(job);
            Http.THREADS.execute(() -> {
                if (users.submit(job, 20)) accepted.countDown();
            });
        }
        if (!accepted.await(25, java.util.concurrent.TimeUnit.SECONDS)) throw new IllegalStateException("the jobs aren't accepted");
        return jobs;
    }

    private static int count(List<Rig.JobInfo> jobs) {
        int count = 0;
        for (Rig.JobInfo job : jobs) count += rig.checker.onCount(job.id);
        return count;
    }

    private static boolean awaitAll(List<Rig.JobInfo> jobs, int tasks, double until) {
        while (Log.now() < until && count(jobs) < tasks) Store.sleep(100);
        return count(jobs) >= tasks;
    }

    private static Rig.JobInfo array(String id, String urgency, int tasks, double cpus, double runS) {
        Rig.JobInfo job = portal(id, tasks);
        job.daemon = false;
        job.urgency = urgency;
        job.scatter = false;
        job.cpus = cpus;
        job.memoryGb = cpus * 3;
        job.image = "img-remesa";
        job.pullGb = 0.9;
        job.minRun = job.maxRun = runS;
        job.aproxS = runS;
        return job;
    }

    /** More work than room, urgent and not: one machine, an array, and two urgent jobs after each other. */
    private static int urgent(boolean trouble) throws Exception {
        rig.reportS = 6;
        rig.waitS = 4;
        for (String type : List.of("robusta " + BILBAO, "robusta " + SANTANDER, "menuda " + SANTANDER)) {
            rig.cloud.offers.put(type + " false", type.equals("robusta " + SANTANDER) ? 1 : 0);
        }
        rig.cloud.add(rig.cloud.types.get("robusta"), SANTANDER, false, 0.1);
        startAll();
        Store.sleep(7000);
        Rig.JobInfo first = array("j-000411", "critical", 1, 8, 12);
        submit(first);
        if (!awaitOn(first, 1, 30)) throw new IllegalStateException("the first urgent job doesn't run");
        Rig.JobInfo plain = array("j-000412", "normal", 12, 4, 18);
        if (trouble) {
            submit(plain);
            if (!awaitOn(plain, 2, 30)) throw new IllegalStateException("the array doesn't run");
        }
        Rig.JobInfo second = array("j-000413", "critical", 1, 16, 5);
        submit(second);
        while (rig.checker.doneCount(first) == 0) Store.sleep(50);
        double from = Log.now();
        int startsBefore = rig.checker.starts;
        int doneBefore = rig.checker.doneCount(plain);
        double until = Math.min(from + 80, 113);
        while (Log.now() < until && rig.checker.doneCount(second) == 0 && rig.checker.onCount(second.id) == 0) {
            Store.sleep(500);
            users.poll(second, users.any());
        }
        boolean ran = rig.checker.doneCount(second) > 0 || rig.checker.onCount(second.id) > 0;
        int starts = rig.checker.starts - startsBefore;
        int done = rig.checker.doneCount(plain) - doneBefore;
        String figures = starts + " starts and " + done + " completed tasks of the array in " + (Log.now() - from) + " s";
        Log.line("rig", figures);
        // Slowness alone isn't judged: neither the urgent job nor the array gets anywhere.
        boolean stuck = !ran && done == 0;
        if (stuck) Log.broken("must run", second.id + " (critical) hasn't been started since " + first.id + " ended; " + figures);
        return stuck ? 1 : 0;
    }
}
