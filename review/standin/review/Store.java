package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import review.Wire.Reply;

/** The state service, with its limits. Each controller has a port of its own, so that a test can treat one differently. */
final class Store {
    private record Entry(JsonNode data, long revision, Long lease) {}

    private record Change(long revision, String key, JsonNode data) {}

    private static final class Lease {
        final long ttlMs;
        long endMs;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            endMs = Wire.nowMs() + ttlMs;
        }
    }

    private static final class Budget {
        final double perS;
        double left;
        long atMs = Wire.nowMs();

        Budget(double perS) {
            this.perS = perS;
            left = perS;
        }

        boolean take(int count) {
            long now = Wire.nowMs();
            left = Math.min(perS, left + (now - atMs) * perS / 1000);
            atMs = now;
            if (left < count) return false;
            left -= count;
            return true;
        }
    }

    static final int MAX_TRANSACTION_BYTES = 64 * 1024;
    private final Journal journal;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Budget requests;
    private final Budget writes;
    private final int valueBytes;
    private final int maxOps;
    private long revision = 1;
    private long lastLease;
    final int[] ports;
    /** Nodes that the service refuses with 503. */
    final boolean[] refused;
    volatile int tooLarge;
    volatile double firstTooLargeS = -1;
    private int logged400;

    Store(Journal journal, int nodes, double rps, double writeRps, int valueKb, int maxOps) throws IOException {
        this.journal = journal;
        requests = new Budget(rps);
        writes = new Budget(writeRps);
        valueBytes = valueKb * 1024;
        this.maxOps = maxOps;
        ports = new int[nodes];
        refused = new boolean[nodes];
        for (int node = 0; node < nodes; node++) {
            int from = node;
            ports[node] = Wire.freePort();
            Wire.serve(ports[node], (method, path, query, body) -> handle(from, method, path, parse(query), body));
        }
        Thread expiry = new Thread(() -> {
            while (true) {
                synchronized (this) {
                    expire();
                }
                Wire.sleep(10);
            }
        });
        expiry.setDaemon(true);
        expiry.start();
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> values = new HashMap<>();
        if (query != null) {
            for (String part : query.split("&")) {
                int at = part.indexOf('=');
                if (at > 0) values.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    /** The member that holds the leader's key, null if there is none. */
    synchronized String leader() {
        expire();
        Entry entry = entries.get("leader/cleathitch");
        return entry == null ? null : entry.data().get("member").textValue();
    }

    synchronized long leaderTerm() {
        Entry entry = entries.get("leader/cleathitch");
        return entry == null ? 0 : entry.revision();
    }

    private Reply handle(int node, String method, String path, Map<String, String> query, JsonNode body) throws InterruptedException {
        Wire.sleep(2);
        if (path.equals("/follow")) return follow(node, query);
        synchronized (this) {
            if (refused[node]) return Reply.of(503, Wire.map());
            if (!requests.take(1)) return Reply.of(429, Wire.map());
            expire();
            if (path.equals("/txn")) return transaction(node, body);
            if (path.equals("/holds")) {
                long id = ++lastLease;
                leases.put(id, new Lease(body.get("ttlMs").longValue()));
                return Reply.of(200, Wire.map().put("arriendo", id));
            }
            if (path.startsWith("/holds/")) {
                long id = Long.parseLong(path.split("/")[2]);
                Lease lease = leases.get(id);
                if (lease == null) return Reply.of(404, Wire.map());
                if (method.equals("DELETE")) {
                    leases.remove(id);
                    dropKeysOfEndedLeases();
                } else {
                    lease.endMs = Wire.nowMs() + lease.ttlMs;
                }
                return Reply.of(200, Wire.map());
            }
            if (path.equals("/keys")) return list(query);
            if (path.startsWith("/keys/")) {
                Entry entry = entries.get(path.substring("/keys/".length()));
                if (entry == null) return Reply.of(404, Wire.map().put("asiento", revision));
                return Reply.of(200, describe(path.substring("/keys/".length()), entry));
            }
            return Reply.of(400, Wire.map());
        }
    }

    private ObjectNode describe(String key, Entry entry) {
        ObjectNode node = Wire.map().put("k", key);
        node.set("data", entry.data());
        node.put("retoque", entry.revision());
        if (entry.lease() != null) node.put("arriendo", entry.lease());
        return node;
    }

    private Reply list(Map<String, String> query) {
        String prefix = query.get("under");
        String since = query.getOrDefault("since", "");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        ObjectNode reply = Wire.map();
        ArrayNode list = reply.putArray("entries");
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> each : entries.tailMap(prefix, true).entrySet()) {
            if (!each.getKey().startsWith(prefix)) break;
            if (each.getKey().compareTo(since) <= 0) continue;
            ObjectNode node = describe(each.getKey(), each.getValue());
            bytes += Wire.jsonSize(node) + 1;
            if (list.size() == most || (bytes > 512 * 1024 - 200 && list.size() > 0)) {
                truncated = true;
                break;
            }
            list.add(node);
        }
        return Reply.of(200, reply.put("truncated", truncated).put("asiento", revision));
    }

    private Reply transaction(int node, JsonNode body) {
        JsonNode apply = body.path("apply");
        if (apply.size() > 0 && !writes.take(apply.size())) return Reply.of(429, Wire.map());
        int total = Wire.jsonSize(body);
        String tooMuch = null;
        if (total > MAX_TRANSACTION_BYTES) tooMuch = "transaction of " + total + " bytes";
        if (apply.size() > maxOps) tooMuch = "transaction of " + apply.size() + " changes";
        if (body.path("guards").size() > 4 * maxOps) tooMuch = "transaction of " + body.path("guards").size() + " conditions";
        for (JsonNode change : apply) {
            if (change.has("put") && Wire.jsonSize(change.get("data")) > valueBytes) {
                tooMuch = "value of " + Wire.jsonSize(change.get("data")) + " bytes at " + change.get("put").textValue();
            }
        }
        if (tooMuch != null) {
            tooLarge++;
            if (firstTooLargeS < 0) firstTooLargeS = journal.seconds();
            if (logged400++ < 20 || logged400 % 100 == 0) {
                journal.line("state service: 400 for n" + node + ": " + tooMuch + " is over the limit (" + tooLarge + " so far)");
            }
            return Reply.of(400, Wire.map().put("error", "too large"));
        }
        for (JsonNode change : apply) {
            if (change.hasNonNull("arriendo") && !leases.containsKey(change.get("arriendo").longValue())) {
                return Reply.of(400, Wire.map().put("error", "no such lease"));
            }
        }
        ObjectNode refusal = Wire.map();
        ArrayNode failed = refusal.putArray("failed");
        for (JsonNode guard : body.path("guards")) {
            Entry entry = entries.get(guard.get("k").textValue());
            if ((entry == null ? 0 : entry.revision()) != guard.get("retoque").longValue()) failed.add(guard.get("k"));
        }
        if (failed.size() > 0) return Reply.of(409, refusal.put("asiento", revision));
        if (apply.size() > 0) {
            revision++;
            for (JsonNode change : apply) {
                if (change.has("delete")) {
                    String key = change.get("delete").textValue();
                    if (entries.remove(key) != null) recordChange(key, null);
                } else {
                    String key = change.get("put").textValue();
                    Long lease = change.hasNonNull("arriendo") ? change.get("arriendo").longValue() : null;
                    entries.put(key, new Entry(change.get("data"), revision, lease));
                    recordChange(key, change.get("data"));
                }
            }
        }
        return Reply.of(200, Wire.map().put("asiento", revision));
    }

    private void recordChange(String key, JsonNode data) {
        changes.add(new Change(revision, key, data));
        if (changes.size() > 10_000) changes.remove(0);
        if (key.startsWith("leader/")) journal.line("state service: leader key " + (data == null ? "gone" : "held by " + data.get("member")));
        notifyAll();
    }

    private void expire() {
        long now = Wire.nowMs();
        if (leases.values().removeIf(lease -> lease.endMs <= now)) dropKeysOfEndedLeases();
    }

    private void dropKeysOfEndedLeases() {
        List<String> gone = entries.entrySet().stream()
            .filter(it -> it.getValue().lease() != null && !leases.containsKey(it.getValue().lease()))
            .map(Map.Entry::getKey).toList();
        if (gone.isEmpty()) return;
        revision++;
        for (String key : gone) {
            entries.remove(key);
            recordChange(key, null);
        }
    }

    private Reply follow(int node, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("since"));
        long endMs = Wire.nowMs() + Long.parseLong(query.getOrDefault("blockMs", "0"));
        String prefix = query.get("under");
        synchronized (this) {
            if (!refused[node] && !requests.take(1)) return Reply.of(429, Wire.map());
            while (true) {
                expire();
                ObjectNode reply = Wire.map().put("asiento", revision);
                ArrayNode log = reply.putArray("log");
                for (Change change : changes) {
                    if (change.revision() <= since || !change.key().startsWith(prefix)) continue;
                    ObjectNode item = log.addObject();
                    if (change.data() == null) {
                        item.put("delete", change.key());
                    } else {
                        item.put("put", change.key()).set("data", change.data());
                    }
                    item.put("retoque", change.revision());
                }
                long left = endMs - Wire.nowMs();
                if (!refused[node] && (log.size() > 0 || left <= 0)) return Reply.of(200, reply);
                wait(Math.max(1, Math.min(left <= 0 ? 20 : left, 20)));
            }
        }
    }
}
