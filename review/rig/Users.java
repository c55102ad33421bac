import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Users: they submit, ask, cancel, and check each answer against those that came before the question. */
final class Users {
    private final Rig rig;
    private final Random random;
    private int lastJob;
    int answered;
    int unanswered;
    volatile boolean closeLooks;
    volatile boolean open = true;

    Users(Rig rig, long seed) {
        this.rig = rig;
        random = new Random(seed);
    }

    synchronized int any() { return random.nextInt(rig.nodes); }

    synchronized double draw() { return random.nextDouble(); }

    synchronized Rig.JobInfo newJob() {
        Rig.JobInfo job = new Rig.JobInfo();
        job.id = String.format("j-%06d", 100_000 + (++lastJob * 7919) % 800_000);
        List<String> teams = new ArrayList<>(rig.limits.keySet());
        job.team = teams.get(random.nextInt(teams.size()));
        job.daemon = random.nextInt(4) == 0;
        job.tasks = 1 + random.nextInt(job.daemon ? 3 : 6);
        job.cpus = job.daemon ? 1 : 1 + random.nextInt(4);
        job.memoryGb = job.cpus * 2;
        job.image = "img-" + random.nextInt(3);
        job.pullGb = 0.3 + random.nextDouble();
        job.urgency = job.daemon ? "critical" : random.nextInt(4) == 0 ? "high" : "normal";
        job.spot = random.nextInt(2) == 0;
        if (rig.zones.length > 1) {
            job.oneZone = !job.daemon && random.nextInt(4) == 0;
            job.scatter = job.daemon || random.nextInt(5) == 0;
            if (job.oneZone) job.scatter = false;
            if (random.nextInt(6) == 0 && !job.scatter) job.zone = rig.zones[random.nextInt(rig.zones.length)];
        }
        if (random.nextInt(3) == 0) {
            job.saveEveryS = 5;
            job.saveS = 2;
        }
        job.minRun = 1.0;
        job.maxRun = random.nextInt(3) == 0 ? 40.0 : 8.0;
        job.aproxS = job.daemon ? 0 : (job.minRun + job.maxRun) / 2;
        rig.jobs.put(job.id, job);
        return job;
    }

    /** The whole life of a job, in a thread of its own. */
    void live(Rig.JobInfo job, double cancelShare) {
        Http.THREADS.execute(() -> {
            if (!submit(job, 60)) return;
            if (closeLooks) look(job);
            boolean cancels = job.daemon || draw() < cancelShare;
            double cancelAt = Log.now() + draw() * (job.daemon ? 60 : 25);
            while (open && job.doneAt == null && job.cancelledAt == null) {
                Store.sleep((long) (1000 + draw() * 4000));
                if (cancels && Log.now() > cancelAt) cancel(job, 60);
                else poll(job, any());
                if (closeLooks && (job.doneAt != null || job.cancelledAt != null)) look(job);
            }
            while (open) {
                Store.sleep((long) (5000 + draw() * 10_000));
                if (draw() < 0.3) submit(job, 5);
                else if (draw() < 0.2) cancel(job, 5);
                else poll(job, any());
            }
        });
    }

    private void look(Rig.JobInfo job) {
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < rig.nodes; i++) {
                int node = i;
                Http.THREADS.execute(() -> poll(job, node));
            }
            Http.THREADS.execute(() -> submitOnce(job, any()));
            Store.sleep(3);
        }
    }

    boolean submit(Rig.JobInfo job, double seconds) {
        double end = Log.now() + seconds;
        while (Log.now() < end && open) {
            if (submitOnce(job, any())) return true;
            Store.sleep(1000);
        }
        return job.acceptedAt != null;
    }

    boolean submitOnce(Rig.JobInfo job, int node) {
        Seen before = new Seen(job);
        Log.line("user", "sends submit " + job.id + " to n" + node + ": " + job.body());
        Http.Reply reply = Http.call(rig.port(node), "POST", "/submissions", job.body(), 5000);
        count(reply);
        if (reply == null) return unanswered("submit " + job.id, node);
        log(node, "submit " + job.id, reply);
        if (reply.status == 400 || reply.status == 422) {
            if (before.accepted) Log.broken("forgotten", job.id + " is answered " + reply.status + " by n" + node + " though accepted");
            else Log.line("user", "odd: " + job.body() + " " + reply.body);
            return false;
        }
        if (reply.status != 200 && reply.status != 201) return false;
        if (reply.status == 201 && before.accepted) Log.broken("went_back", job.id + " is accepted anew by n" + node);
        check(job, before, (String) reply.body.get("estado"), node);
        if (job.acceptedAt == null) job.acceptedAt = Log.now();
        return true;
    }

    boolean poll(Rig.JobInfo job, int node) {
        Seen before = new Seen(job);
        Http.Reply reply = Http.call(rig.port(node), "GET", "/submissions/" + job.id, null, 2000);
        count(reply);
        if (reply == null) return unanswered("poll " + job.id, node);
        log(node, "poll " + job.id, reply);
        if (reply.status == 404) {
            if (before.accepted) Log.broken("forgotten", job.id + " is answered 404 by n" + node + " though accepted");
            return true;
        }
        if (reply.status != 200) return false;
        job.lastAnswerAt = Log.now();
        check(job, before, (String) reply.body.get("estado"), node);
        return true;
    }

    boolean cancel(Rig.JobInfo job, double seconds) {
        job.cancelAsked = true;
        double end = Log.now() + seconds;
        while (Log.now() < end && open) {
            if (cancelOnce(job, any())) return true;
            Store.sleep(1000);
        }
        return false;
    }

    boolean cancelOnce(Rig.JobInfo job, int node) {
        job.cancelAsked = true;
        Seen before = new Seen(job);
        Http.Reply reply = Http.call(rig.port(node), "POST", "/submissions/" + job.id + "/abort", Wire.map(), 5000);
        count(reply);
        if (reply == null) return unanswered("abort " + job.id, node);
        log(node, "abort " + job.id, reply);
        if (reply.status == 404 && before.accepted) Log.broken("forgotten", job.id + " is answered 404 to abort by n" + node + " though accepted");
        if (reply.status != 200) return false;
        String state = (String) reply.body.get("estado");
        if (!state.equals("withdrawn") && !state.equals("done")) Log.broken("went_back", job.id + " is answered " + state + " to abort by n" + node);
        check(job, before, state, node);
        return true;
    }

    private boolean unanswered(String what, int node) {
        Log.line("user", what + " at n" + node + ": no answer");
        return false;
    }

    private synchronized void count(Http.Reply reply) {
        if (reply != null && (reply.status < 300 || reply.status == 404)) answered++; else unanswered++;
    }

    private void log(int node, String what, Http.Reply reply) {
        Log.line("user", what + " at n" + node + ": " + reply.status + (reply.body == null ? "" : " " + reply.body));
    }

    /** What users had been told when a question was sent. */
    private static final class Seen {
        final boolean accepted, done, cancelled;

        Seen(Rig.JobInfo job) {
            accepted = job.acceptedAt != null;
            done = job.doneAt != null;
            cancelled = job.cancelledAt != null;
        }
    }

    private void check(Rig.JobInfo job, Seen before, String state, int node) {
        if (before.done && !state.equals("done")) Log.broken("went_back", job.id + " was done and is " + state + " at n" + node);
        if (before.cancelled && !state.equals("withdrawn")) Log.broken("went_back", job.id + " was withdrawn and is " + state + " at n" + node);
        if (state.equals("withdrawn")) {
            if (!job.cancelAsked) Log.broken("went_back", job.id + " is withdrawn at n" + node + " and nobody asked for it");
            if (job.cancelledAt == null) job.cancelledAt = Log.now();
        }
        if (state.equals("done")) {
            if (job.daemon || rig.checker.doneCount(job) < job.tasks) {
                Log.broken("not_done", job.id + " is called done with " + rig.checker.doneCount(job) + " of " + job.tasks + " tasks done");
            }
            if (job.doneAt == null) job.doneAt = Log.now();
        }
    }
}
