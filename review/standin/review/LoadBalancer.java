package review;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The users' load balancer: probes each node about once a second, and gives each new connection to the healthy node with the fewest open
 * connections of users.
 */
final class LoadBalancer {
    private static final class Node {
        final Deque<Boolean> probes = new ArrayDeque<>();
        boolean wasHealthy;
        boolean healthy;
        int successes;
        int failures;
        int removals;
        long unhealthySinceMs;
        int open;
    }

    private final Journal journal;
    private final Cluster cluster;
    private final Node[] nodes;

    LoadBalancer(Journal journal, Cluster cluster) {
        this.journal = journal;
        this.cluster = cluster;
        nodes = new Node[cluster.size()];
        for (int node = 0; node < nodes.length; node++) {
            nodes[node] = new Node();
            int probed = node;
            Thread thread = new Thread(() -> {
                while (true) {
                    Wire.Reply reply = Wire.call(cluster.port(probed), "GET", "/ready", null, 1000);
                    record(probed, reply != null && reply.status() == 200);
                    Wire.sleep(1000);
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    private synchronized void record(int index, boolean isReady) {
        Node node = nodes[index];
        node.successes = isReady ? node.successes + 1 : 0;
        node.failures = isReady ? 0 : node.failures + 1;
        node.probes.addLast(isReady);
        if (node.probes.size() > 6) node.probes.removeFirst();
        long failed = node.probes.stream().filter(it -> !it).count();
        long pauseMs = Math.min(60_000, 3000L << Math.max(0, node.removals - 1));
        if (node.healthy && (node.failures >= 2 || failed >= 3)) {
            node.healthy = false;
            node.removals++;
            node.unhealthySinceMs = Wire.nowMs();
            journal.line("load balancer: burro-" + index + " is unhealthy");
        } else if (!node.healthy && isReady && (!node.wasHealthy || node.successes >= 2 && Wire.nowMs() - node.unhealthySinceMs >= pauseMs)) {
            node.healthy = true;
            node.wasHealthy = true;
            node.probes.clear();
            journal.line("load balancer: burro-" + index + " is healthy");
        }
    }

    /** The node for a new connection, -1 if none is healthy. */
    synchronized int connect() {
        int best = -1;
        for (int node = 0; node < nodes.length; node++) {
            if (nodes[node].healthy && (best < 0 || nodes[node].open < nodes[best].open)) best = node;
        }
        if (best >= 0) nodes[best].open++;
        return best;
    }

    synchronized void closed(int node) {
        nodes[node].open--;
    }

    /** Whether the node has been unhealthy for so long that its open connections are reset. */
    synchronized boolean isReset(int node) {
        return !nodes[node].healthy && Wire.nowMs() - nodes[node].unhealthySinceMs > 5000;
    }

    synchronized int healthyNodes() {
        int healthy = 0;
        for (Node node : nodes) if (node.healthy) healthy++;
        return healthy;
    }
}
