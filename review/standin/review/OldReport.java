package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import review.Wire.Reply;

/**
 * The tasks of some machines fail in the moment in which all controllers end, and the reports of that are held up. After more than a
 * lease the controllers are back; their leader starts the same attempts again on the same machines, in the workers' next session. Then
 * that leader ends, and the old reports reach every controller just as the new leader begins.
 */
final class OldReport extends Case {
    private static final int MACHINES = 42;
    private static final int JOBS = 14;

    public static void main(String[] arguments) throws Exception {
        main(new OldReport(), arguments);
    }

    @Override
    int run() throws Exception {
        Cloud.Type mitad = new Cloud.Type("mitad", 4, 8, 50, 0.12, 0.2, 0.08, 30);
        Store store = new Store(journal, 3, 150, 60, 16, 32);
        Cloud cloud = new Cloud(journal, List.of("quito-norte"), List.of(mitad));
        Cluster cluster = new Cluster(journal, root, dir, 3);
        cluster.connect(store.ports, cloud.port);
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= MACHINES; i++) {
            Worker worker = new Worker(journal, cluster, String.format("vm-%06d", i), mitad, "quito-norte");
            workers.add(worker);
            cloud.add(worker);
        }
        cluster.startAll();
        if (!cluster.awaitLeader(25)) return NOT_RUN;

        // Puts the image on every machine.
        Job first = new Job("j-000100", "despacho", "fare-recon", "array", MACHINES, 4, 4.3, 0.03, null, 1500);
        if (!cluster.submit(first, 10)) return NOT_RUN;
        if (!await("the first job is done", 20, () -> isDone(cluster, first))) return NOT_RUN;

        List<Job> jobs = new ArrayList<>();
        for (int i = 1; i <= JOBS; i++) {
            Job job = new Job(String.format("j-%06d", i), "despacho", "fare-recon", "array", 1, 4, 4.3, 0.03, null, 600_000);
            jobs.add(job);
            if (!cluster.submit(job, 20)) return NOT_RUN;
        }
        if (!await("all tasks run", 15, () -> running(workers, jobs) == JOBS)) return NOT_RUN;
        // The leader has the reports of the running tasks.
        Wire.sleep(1500);

        if (trouble) {
            Map<Worker, ObjectNode> held = new LinkedHashMap<>();
            for (Worker worker : workers) if (!worker.isIdle()) held.put(worker, worker.failTasksAndReport());
            for (int node = 0; node < 3; node++) cluster.kill(node);
            Wire.sleep(cluster.leaseMs());
            if (!await("all workers are in their next session", 6, () -> workers.stream().allMatch(it -> it.session() > 1))) return NOT_RUN;
            cluster.startAll();
            if (!cluster.awaitLeader(15)) return NOT_RUN;
            if (!await("all tasks run again", 15, () -> running(workers, jobs) == JOBS)) return NOT_RUN;
            Wire.sleep(1500);

            long term = store.leaderTerm();
            int old = cluster.indexOf(store.leader());
            if (old < 0) return NOT_RUN;
            cluster.kill(old);
            if (!await("the next leader", 10, () -> store.leader() != null && store.leaderTerm() != term)) return NOT_RUN;
            int leader = cluster.indexOf(store.leader());
            if (!await("the next leader answers", 10, () -> answers(cluster, leader))) return NOT_RUN;
            // For comparison: all the rest without the old reports.
            boolean isDelivered = !"without-old-reports".equals(System.getenv("TROUBLE"));
            held.forEach((worker, report) -> {
                for (int node = 0; node < 3 && isDelivered; node++) deliver(cluster, node, worker, report);
            });
            Wire.sleep(3000);
            cluster.start(old);
        }
        Wire.sleep(8000);
        return journal.violations().isEmpty() ? HELD : BROKEN;
    }

    private boolean isDone(Cluster cluster, Job job) {
        Reply reply = cluster.user(0, "GET", "/submissions/" + job.id, null);
        return reply != null && reply.status() == 200 && reply.body().path("estado").asText().equals("done");
    }

    private boolean answers(Cluster cluster, int node) {
        Reply reply = cluster.user(node, "GET", "/submissions/j-000001", null);
        return reply != null && reply.status() == 200;
    }

    /** The old report arrives; its sender has given up, so nobody gets the answer. */
    private void deliver(Cluster cluster, int node, Worker worker, ObjectNode report) {
        if (!cluster.isAlive(node)) return;
        Wire.THREADS.execute(() -> {
            Reply reply = Wire.call(cluster.port(node), "POST", "/agent/beat", report, 4000);
            journal.line("the old report of " + worker.id + " arrives at burro-" + node + ", answer "
                + (reply == null ? "none" : reply.status()) + ", which nobody gets");
        });
    }

    private static int running(List<Worker> workers, List<Job> jobs) {
        int running = 0;
        for (Job job : jobs) if (workers.stream().anyMatch(it -> it.runs(job.id))) running++;
        return running;
    }
}
