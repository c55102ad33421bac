import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service. Each controller reaches it at a port of its own, so that faults can hit one controller alone. */
final class Store {
    enum Mode { OK, REFUSE, HOLD, DROP, RESET }

    /** Faults of the requests of one controller. */
    static final class Caller {
        volatile Mode mode = Mode.OK;
        /** Transactions without an answer: carried out at once or 2 to 12 s later. */
        volatile double lateShare;
        volatile double lostShare;
        volatile long delayMs;
        final Object changed = new Object();

        void set(Mode mode) {
            synchronized (changed) {
                this.mode = mode;
                changed.notifyAll();
            }
        }
    }

    private static final class Entry {
        final Object data;
        final long revision;
        final Long lease;

        Entry(Object data, long revision, Long lease) {
            this.data = data;
            this.revision = revision;
            this.lease = lease;
        }
    }

    private static final class Lease {
        final long ttlMs;
        long endsMs;

        Lease(long ttlMs, long endsMs) {
            this.ttlMs = ttlMs;
            this.endsMs = endsMs;
        }
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Map<String, Object>> log = new ArrayDeque<>();
    private long revision = 1;
    private long lastLease;
    private boolean out;
    private final double rps;
    private final double writeRps;
    private double requests;
    private double writes;
    private long filledMs = nowMs();
    final Caller[] callers;
    final java.util.Random random;
    boolean logsTransactions;

    Store(int nodes, double rps, double writeRps, long seed) {
        this.rps = rps;
        this.writeRps = writeRps;
        requests = rps;
        writes = writeRps;
        callers = new Caller[nodes];
        for (int i = 0; i < nodes; i++) callers[i] = new Caller();
        random = new java.util.Random(seed);
        Thread expiry = new Thread(() -> {
            while (true) {
                synchronized (this) { expire(); }
                sleep(10);
            }
        });
        expiry.setDaemon(true);
        expiry.start();
    }

    static long nowMs() { return System.nanoTime() / 1_000_000; }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void outage(boolean out) {
        this.out = out;
        if (!out) for (Lease lease : leases.values()) lease.endsMs = nowMs() + lease.ttlMs;
        Log.line("state", out ? "outage begins" : "outage ends");
    }

    synchronized String leader() {
        Entry entry = entries.get("leader/cleathitch");
        return entry == null ? null : (String) ((Map<?, ?>) entry.data).get("member");
    }

    synchronized int size() { return entries.size(); }

    private void expire() {
        if (out) return;
        long now = nowMs();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> { if (lease.endsMs <= now) ended.add(id); });
        ended.forEach(this::end);
    }

    private void end(long lease) {
        if (leases.remove(lease) == null) return;
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> { if (entry.lease != null && entry.lease == lease) keys.add(key); });
        if (keys.isEmpty()) return;
        revision++;
        for (String key : keys) {
            entries.remove(key);
            change("delete", key, null);
        }
        notifyAll();
    }

    private void change(String kind, String key, Object data) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(kind, key);
        if (data != null) map.put("data", data);
        map.put("retoque", revision);
        log.add(map);
        if (log.size() > 10_000) log.removeFirst();
    }

    Http.Reply serve(int node, String method, String path, Map<String, String> query, byte[] body) throws InterruptedException {
        Caller caller = callers[node];
        boolean watch = path.equals("/follow");
        sleep(2 + random.nextInt(8));
        if (caller.delayMs > 0) sleep(random.nextInt((int) caller.delayMs));
        synchronized (caller.changed) {
            if (caller.mode == Mode.RESET) return null;
            if (caller.mode == Mode.DROP) {
                while (caller.mode == Mode.DROP) caller.changed.wait();
                return null;
            }
            // Held packets arrive in order once the interruption is over.
            while (caller.mode == Mode.HOLD) caller.changed.wait();
            if (caller.mode == Mode.REFUSE) {
                if (!watch) return new Http.Reply(503, Wire.map("error", "trouble"));
                long end = nowMs() + Long.parseLong(query.getOrDefault("blockMs", "0"));
                while (caller.mode == Mode.REFUSE && nowMs() < end) caller.changed.wait(Math.max(1, end - nowMs()));
            }
        }
        if (method.equals("POST") && path.equals("/txn")) {
            double draw = random.nextDouble();
            if (draw < caller.lateShare) {
                long later = 2000 + random.nextInt(10_000);
                Http.THREADS.execute(() -> {
                    sleep(later);
                    Http.Reply reply = apply(method, path, query, body);
                    Log.line("state", "late transaction of n" + node + " after " + later + " ms: " + reply.status);
                });
                sleep(3000);
                return null;
            }
            if (draw < caller.lateShare + caller.lostShare) {
                apply(method, path, query, body);
                sleep(3000);
                return null;
            }
        }
        Http.Reply reply = watch ? follow(query) : apply(method, path, query, body);
        // The answer may be cut off, too.
        synchronized (caller.changed) {
            if (caller.mode == Mode.DROP || caller.mode == Mode.HOLD) {
                while (caller.mode == Mode.DROP || caller.mode == Mode.HOLD) caller.changed.wait();
                return reply;
            }
        }
        return reply;
    }

    private synchronized Http.Reply follow(Map<String, String> query) throws InterruptedException {
        if (!take(1, 0)) return new Http.Reply(429, null);
        String prefix = query.get("under");
        long since = Long.parseLong(query.get("since"));
        long end = nowMs() + Long.parseLong(query.getOrDefault("blockMs", "0"));
        while (true) {
            if (!log.isEmpty() && log.size() >= 10_000 && Wire.num(log.peekFirst().get("retoque")) > since + 1) return new Http.Reply(410, null);
            List<Object> changes = new ArrayList<>();
            for (Map<String, Object> change : log) {
                String key = (String) (change.containsKey("put") ? change.get("put") : change.get("delete"));
                if (key.startsWith(prefix) && Wire.num(change.get("retoque")) > since) changes.add(change);
            }
            boolean late = nowMs() >= end;
            if (!out && (!changes.isEmpty() || late)) return new Http.Reply(200, Wire.map("asiento", revision, "log", changes));
            if (out && late) return new Http.Reply(503, null);
            wait(Math.max(1, Math.min(100, end - nowMs())));
        }
    }

    private boolean take(int request, int changes) {
        long now = nowMs();
        requests = Math.min(rps, requests + (now - filledMs) * rps / 1000);
        writes = Math.min(writeRps, writes + (now - filledMs) * writeRps / 1000);
        filledMs = now;
        if (requests < request || writes < changes) return false;
        requests -= request;
        writes -= changes;
        return true;
    }

    synchronized Http.Reply apply(String method, String path, Map<String, String> query, byte[] body) {
        expire();
        if (out) return new Http.Reply(503, Wire.map("error", "trouble"));
        if (path.equals("/txn")) return transaction(Wire.unpackMap(body));
        if (!take(1, 0)) return new Http.Reply(429, Wire.map("asiento", revision));
        if (path.equals("/keys")) return list(query);
        if (path.startsWith("/keys/")) {
            Entry entry = entries.get(path.substring(6));
            if (entry == null) return new Http.Reply(404, Wire.map("asiento", revision));
            return new Http.Reply(200, Wire.map("k", path.substring(6), "data", entry.data, "retoque", entry.revision, "arriendo", entry.lease));
        }
        if (path.equals("/holds")) {
            long ttl = Wire.num(Wire.unpackMap(body).get("ttlMs"));
            if (ttl < 100 || ttl > 600_000) return new Http.Reply(400, null);
            leases.put(++lastLease, new Lease(ttl, nowMs() + ttl));
            return new Http.Reply(200, Wire.map("arriendo", lastLease));
        }
        String[] parts = path.split("/");
        long id = Long.parseLong(parts[2]);
        if (method.equals("DELETE")) {
            boolean known = leases.containsKey(id);
            end(id);
            return new Http.Reply(known ? 200 : 404, Wire.map("asiento", revision));
        }
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Reply(404, Wire.map("asiento", revision));
        lease.endsMs = nowMs() + lease.ttlMs;
        return new Http.Reply(200, Wire.map("arriendo", id));
    }

    private Http.Reply list(Map<String, String> query) {
        String prefix = query.get("under");
        String since = query.get("since");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> list = new ArrayList<>();
        boolean truncated = false;
        int bytes = 60;
        for (Map.Entry<String, Entry> entry : entries.tailMap(since == null ? prefix : since, since == null).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                if (entry.getKey().compareTo(prefix) > 0) break;
                continue;
            }
            Map<String, Object> item = Wire.map("k", entry.getKey(), "data", entry.getValue().data, "retoque", entry.getValue().revision);
            bytes += Wire.jsonBytes(item) + 1;
            if (list.size() == most || bytes > 512 * 1024) {
                truncated = true;
                break;
            }
            list.add(item);
        }
        return new Http.Reply(200, Wire.map("entries", list, "truncated", truncated, "asiento", revision));
    }

    private Http.Reply transaction(Map<String, Object> txn) {
        List<?> guards = txn.get("guards") == null ? List.of() : (List<?>) txn.get("guards");
        List<?> changes = txn.get("apply") == null ? List.of() : (List<?>) txn.get("apply");
        if (!take(1, changes.size())) return new Http.Reply(429, Wire.map("asiento", revision));
        if (changes.size() > 32 || guards.size() > 128 || Wire.jsonBytes(txn) > 64 * 1024) return tooLarge("transaction too large", txn);
        for (Object item : changes) {
            Map<?, ?> change = (Map<?, ?>) item;
            if (change.containsKey("put") && Wire.jsonBytes(change.get("data")) > 16 * 1024) return tooLarge("value too large", txn);
            if (change.get("arriendo") != null && !leases.containsKey(Wire.num(change.get("arriendo")))) {
                return new Http.Reply(400, Wire.map("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : guards) {
            Map<?, ?> guard = (Map<?, ?>) item;
            Entry entry = entries.get((String) guard.get("k"));
            if ((entry == null ? 0 : entry.revision) != Wire.num(guard.get("retoque"))) failed.add(guard.get("k"));
        }
        if (!failed.isEmpty()) return new Http.Reply(409, Wire.map("failed", failed, "asiento", revision));
        if (changes.isEmpty()) return new Http.Reply(200, Wire.map("asiento", revision));
        revision++;
        for (Object item : changes) {
            Map<?, ?> change = (Map<?, ?>) item;
            if (change.containsKey("put")) {
                String key = (String) change.get("put");
                Long lease = change.get("arriendo") == null ? null : Wire.num(change.get("arriendo"));
                entries.put(key, new Entry(change.get("data"), revision, lease));
                change("put", key, change.get("data"));
            } else {
                String key = (String) change.get("delete");
                entries.remove(key);
                change("delete", key, null);
            }
        }
        if (logsTransactions) Log.line("state", "revision " + revision + ": " + changes.size() + " changes");
        notifyAll();
        return new Http.Reply(200, Wire.map("asiento", revision));
    }

    private Http.Reply tooLarge(String error, Map<String, Object> txn) {
        Log.line("state", "rejected: " + error + ", " + Wire.jsonBytes(txn) + " bytes");
        return new Http.Reply(400, Wire.map("error", error));
    }
}
