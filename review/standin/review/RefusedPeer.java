package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A packet filter refuses the connections that one follower opens to the leader; those that the leader opens to it still work. Users keep
 * their connections through the load balancer and poll about every 5 s. No accepted job's polls may all fail for 90 s while most others
 * are answered.
 */
final class RefusedPeer extends Case {
    private static final int NODES = 5;
    private static final int USERS = 15;
    private static final double FORGOTTEN_S = 90;

    public static void main(String[] arguments) throws Exception {
        main(new RefusedPeer(), arguments);
    }

    /** One user with one job, and with one connection at a time. */
    private final class User extends Thread {
        final Job job;
        private final LoadBalancer balancer;
        private final Cluster cluster;
        private HttpClient client;
        volatile int node = -1;
        volatile boolean accepted;
        volatile double firstFailedS = -1;
        volatile double lastAnsweredS = -1;

        User(Job job, LoadBalancer balancer, Cluster cluster) {
            this.job = job;
            this.balancer = balancer;
            this.cluster = cluster;
            setDaemon(true);
        }

        @Override
        public void run() {
            while (!accepted) {
                accepted = isAnswer(request("POST", "/submissions", job.submission(), 5000));
                if (!accepted) Wire.sleep(1000);
            }
            while (true) {
                Wire.sleep(5000);
                double askedS = journal.seconds();
                if (isAnswer(request("GET", "/submissions/" + job.id, null, 2000))) {
                    lastAnsweredS = journal.seconds();
                    firstFailedS = -1;
                } else if (firstFailedS < 0) {
                    firstFailedS = askedS;
                }
            }
        }

        private boolean isAnswer(int status) {
            return status == 200 || status == 201;
        }

        private int request(String method, String path, ObjectNode body, long timeoutMs) {
            if (node >= 0 && balancer.isReset(node)) disconnect();
            if (node < 0) {
                node = balancer.connect();
                if (node < 0) return -1;
                client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofMillis(500)).build();
            }
            int to = node;
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + cluster.port(to) + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(Wire.pack(body)))
                .build();
            int status = -1;
            String text = "no answer";
            boolean isClosed = true;
            try {
                HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
                status = response.statusCode();
                JsonNode answer = Wire.unpack(response.body());
                isClosed = response.headers().firstValue("connection").map(it -> it.equalsIgnoreCase("close")).orElse(false);
                text = status + " " + Wire.json(answer) + (isClosed ? ", connection closed" : "");
            } catch (IOException e) {
                // No answer.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            journal.line("user of " + job.id + ": " + method + " " + path + " at burro-" + to + ": " + text);
            if (isClosed) disconnect();
            return status;
        }

        private void disconnect() {
            balancer.closed(node);
            node = -1;
            client = null;
        }
    }

    @Override
    int run() throws Exception {
        Cloud.Type mitad = new Cloud.Type("mitad", 4, 8, 50, 0.12, 0.2, 0.08, 30);
        Store store = new Store(journal, NODES, 150, 60, 16, 32);
        Cloud cloud = new Cloud(journal, List.of("quito-norte"), List.of(mitad));
        Cluster cluster = new Cluster(journal, root, dir, NODES);
        cluster.settings.withObject("/workers").put("report_s", 6.0);
        cluster.addLinks();
        cluster.connect(store.ports, cloud.port);
        for (int i = 1; i <= USERS; i++) cloud.add(new Worker(journal, cluster, String.format("vm-%06d", i), mitad, "quito-norte"));
        cluster.startAll();
        if (!cluster.awaitLeader(15)) return NOT_RUN;
        LoadBalancer balancer = new LoadBalancer(journal, cluster);
        if (!await("all nodes are healthy", 8, () -> balancer.healthyNodes() == NODES)) return NOT_RUN;

        List<User> users = new ArrayList<>();
        for (int i = 1; i <= USERS; i++) {
            Job job = new Job(String.format("j-%06d", i), "despacho", "dispatch-live", "daemon", 1, 4, 4.2, 0.03, null, 600_000);
            User user = new User(job, balancer, cluster);
            users.add(user);
            user.start();
        }
        if (!await("all jobs are accepted and polled", 12, () -> users.stream().allMatch(it -> it.lastAnsweredS > 0))) return NOT_RUN;

        int leader = cluster.indexOf(store.leader());
        int follower = (leader + 1) % NODES;
        if (trouble) {
            cluster.link(follower, leader).refuse();
            journal.line("packet filter: connections from burro-" + follower + " to burro-" + leader + " are refused");
        }
        double endS = journal.seconds() + 98;
        while (journal.seconds() < endS) {
            double now = journal.seconds();
            for (User user : users) {
                if (user.firstFailedS < 0 || now - user.firstFailedS < FORGOTTEN_S) continue;
                long answered = users.stream().filter(it -> it != user && it.firstFailedS < 0 && now - it.lastAnsweredS < 10).count();
                if (answered * 2 > USERS - 1) {
                    journal.violation("forgotten: all polls for " + user.job.id + " failed from " + Math.round(user.firstFailedS) + " s to "
                        + Math.round(now) + " s, while " + answered + " of the " + (USERS - 1) + " others were answered");
                    return BROKEN;
                }
            }
            Wire.sleep(200);
        }
        return HELD;
    }
}
