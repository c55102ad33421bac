package review;

import java.util.ArrayList;
import java.util.List;
import review.Wire.Reply;

/**
 * A guest team's huge array runs on most machines while a small job of another team waits for its turn on the only machine of another
 * type. Once the small job was accepted, none of its tasks may wait for 90 s while that machine has room.
 */
final class HugeArray extends Case {
    private static final int LARGE_MACHINES = 30;
    private static final double WAIT_S = 90;

    public static void main(String[] arguments) throws Exception {
        main(new HugeArray(), arguments);
    }

    @Override
    int run() throws Exception {
        Cloud.Type mitad = new Cloud.Type("mitad", 4, 8, 50, 0.12, 0.2, 0.08, 30);
        Cloud.Type cordillera = new Cloud.Type("cordillera", 32, 256, 15, 0.12, 1.97, 0.77, 70);
        Store store = new Store(journal, 3, 150, 60, 16, 32);
        Cloud cloud = new Cloud(journal, List.of("quito-norte"), List.of(mitad, cordillera));
        Cluster cluster = new Cluster(journal, root, dir, 3);
        cluster.connect(store.ports, cloud.port);
        Worker small = new Worker(journal, cluster, "vm-000001", mitad, "quito-norte");
        cloud.add(small);
        for (int i = 2; i <= LARGE_MACHINES + 1; i++) {
            cloud.add(new Worker(journal, cluster, String.format("vm-%06d", i), cordillera, "quito-norte"));
        }
        cluster.startAll();
        if (!cluster.awaitLeader(15)) return NOT_RUN;

        if (trouble) {
            Job huge = new Job("j-000001", "uni-movilidad", "route-atlas", "array", 100_000, 0.25, 1, 0.03, "cordillera", 600_000);
            if (!cluster.submit(huge, 10)) return NOT_RUN;
        }
        Job job = new Job("j-000002", "despacho", "fare-recon", "array", 20, 4, 4.3, 0.03, "mitad", 1500);
        if (!cluster.submit(job, 10)) return NOT_RUN;

        int done = -1;
        double waitingSince = -1;
        long nextPollMs = 0;
        int node = 0;
        boolean isTried = false;
        while (true) {
            // For the record only: what other users are told once transactions are refused.
            if (!isTried && store.tooLarge > 0 && journal.seconds() - store.firstTooLargeS > 20) {
                isTried = true;
                Job late = new Job("j-000003", "despacho", "fare-recon", "array", 1, 4, 4.3, 0.03, "mitad", 1500);
                cluster.user(0, "POST", "/submissions", late.submission());
                cluster.user(1, "POST", "/submissions", late.submission());
                cluster.user(1, "POST", "/submissions/j-000001/abort", Wire.map());
            }
            if (Wire.nowMs() >= nextPollMs) {
                nextPollMs = Wire.nowMs() + 5000;
                Reply reply = cluster.user(node++ % 3, "GET", "/submissions/" + job.id, null);
                if (reply != null && reply.status() == 200) {
                    done = reply.body().path("done").intValue();
                    if (reply.body().path("estado").asText().equals("done")) return HELD;
                }
            }
            // Tasks wait while the only machine that fits has room; the team has no limit.
            if (!small.isIdle() || done < 0 || done == job.tasks) {
                waitingSince = -1;
            } else if (waitingSince < 0) {
                waitingSince = journal.seconds();
            } else if (journal.seconds() - waitingSince >= WAIT_S) {
                journal.violation("job " + job.id + " (" + done + " of " + job.tasks + " tasks done) was left waiting from "
                    + Math.round(waitingSince) + " s to " + Math.round(journal.seconds()) + " s while vm-000001 had room; the state service "
                    + "refused " + store.tooLarge + " transactions as too large, the first at " + Math.round(store.firstTooLargeS) + " s");
                return BROKEN;
            }
            Wire.sleep(50);
        }
    }
}
