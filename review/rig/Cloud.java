import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** The cloud: rents machines, lists them late and returns them. */
final class Cloud {
    static final class Type {
        final String name;
        final double cpus, memoryGb, rate, spotPrice, bootS, fetchGbPerS;
        final List<String> zones;

        Type(String name, double cpus, double memoryGb, double rate, double spotPrice, double bootS, double fetchGbPerS, List<String> zones) {
            this.name = name;
            this.cpus = cpus;
            this.memoryGb = memoryGb;
            this.rate = rate;
            this.spotPrice = spotPrice;
            this.bootS = bootS;
            this.fetchGbPerS = fetchGbPerS;
            this.zones = zones;
        }
    }

    final Map<String, Type> types = new LinkedHashMap<>();
    private final Rig rig;
    private final Map<String, List<String>> rentals = new LinkedHashMap<>();
    final TreeMap<String, Machine> machines = new TreeMap<>();
    private final ArrayDeque<Object[]> lists = new ArrayDeque<>();
    private final double lagS;
    private final Random random;
    private int lastMachine;
    volatile boolean out;
    volatile int capacity;
    /** How many machines of a type, zone and kind there are, by "type zone spot"; what is missing here is bounded by [capacity] alone. */
    final Map<String, Integer> offers = new LinkedHashMap<>();
    volatile boolean fastBoot;

    Cloud(Rig rig, double lagS, int capacity, long seed) {
        this.rig = rig;
        this.lagS = lagS;
        this.capacity = capacity;
        random = new Random(seed);
        Thread lister = new Thread(() -> {
            while (true) {
                synchronized (this) {
                    List<Object> list = new ArrayList<>();
                    for (Machine machine : machines.values()) list.add(entry(machine));
                    lists.add(new Object[] {Log.now(), list});
                    while (lists.size() > 200) lists.removeFirst();
                }
                Store.sleep(200);
            }
        });
        lister.setDaemon(true);
        lister.start();
    }

    private Map<String, Object> entry(Machine m) {
        return Wire.map("nameId", m.name, "addr", m.address(), "hornada", m.type.name, "comarca", m.zone, "prestados", m.spot,
            "estado", m.diedAt == null ? m.isUp() ? "running" : "starting" : Log.now() - m.diedAt < 30 ? "running" : "failed", "heldS", Log.now() - m.rentedAt);
    }

    synchronized Machine add(Type type, String zone, boolean spot, double bootS) {
        Machine machine = new Machine(rig, String.format("vm-%06d", ++lastMachine), type, zone, spot, bootS);
        machines.put(machine.name, machine);
        machine.start();
        return machine;
    }

    @SuppressWarnings("unchecked")
    Http.Reply serve(int node, String method, String path, Map<String, String> query, byte[] body) {
        Store.sleep(20 + random.nextInt(100));
        if (out) return new Http.Reply(503, Wire.map("error", "trouble"));
        if (path.equals("/flavors")) {
            List<Object> list = new ArrayList<>();
            for (Type t : types.values()) {
                list.add(Wire.map("label", t.name, "vcpus", t.cpus, "gpus", 0.0, "memoryGb", t.memoryGb, "localGb", 50.0,
                    "fetchGbPerS", t.fetchGbPerS, "rate", t.rate, "spotPrice", t.spotPrice, "bootS", t.bootS, "comarcas", new ArrayList<Object>(t.zones)));
            }
            return new Http.Reply(200, Wire.map("hornadas", list));
        }
        if (path.equals("/hosts") && method.equals("GET")) return list(query);
        Map<String, Object> request = Wire.unpackMap(body);
        if (path.equals("/hosts")) return rent(request);
        if (path.equals("/hosts/return")) {
            Log.line("cloud", "n" + node + " returns " + request.get("burros") + ": 200");
            for (Object name : (List<Object>) request.get("burros")) remove((String) name, "returned by n" + node);
            return new Http.Reply(200, Wire.map());
        }
        return new Http.Reply(404, null);
    }

    /** The machine stops by itself; it is listed as running for 30 s more, and then as failed until it is returned. */
    void die(Machine machine) {
        machine.diedAt = Log.now();
        machine.gone("stops with all that is on it");
    }

    void remove(String name, String why) {
        Machine machine;
        synchronized (this) {
            machine = machines.remove(name);
        }
        if (machine != null) machine.gone(why);
    }

    private synchronized Http.Reply list(Map<String, String> query) {
        double lag = lagS * (0.8 + random.nextDouble() * (random.nextInt(5) == 0 ? 1.2 : 0.3));
        List<Object> list = List.of();
        for (Object[] snapshot : lists) if ((Double) snapshot[0] <= Log.now() - lag) list = cast(snapshot[1]);
        int most = Integer.parseInt(query.getOrDefault("most", "500"));
        String since = query.getOrDefault("since", "");
        List<Object> page = new ArrayList<>();
        boolean truncated = false;
        for (Object item : list) {
            if (((String) ((Map<?, ?>) item).get("nameId")).compareTo(since) <= 0) continue;
            if (page.size() == most) {
                truncated = true;
                break;
            }
            page.add(item);
        }
        return new Http.Reply(200, Wire.map("burros", page, "truncated", truncated));
    }

    @SuppressWarnings("unchecked")
    private static List<Object> cast(Object value) { return (List<Object>) value; }

    private synchronized Http.Reply rent(Map<String, Object> request) {
        String name = (String) request.get("alquiler");
        List<String> known = rentals.get(name);
        if (known == null) {
            Type type = types.get(request.get("hornada"));
            String zone = (String) request.get("comarca");
            long number = Wire.num(request.get("number"));
            if (type == null || !type.zones.contains(zone) || number < 1 || number > 50) return new Http.Reply(400, null);
            int free = capacity - machines.size();
            String offer = request.get("hornada") + " " + zone + " " + request.get("prestados");
            if (offers.containsKey(offer)) {
                int used = 0;
                for (Machine m : machines.values()) if ((m.type.name + " " + m.zone + " " + m.spot).equals(offer)) used++;
                free = Math.min(free, offers.get(offer) - used);
            }
            if (free <= 0) Log.line("cloud", "rental " + name + " of " + number + " " + offer + ": no capacity");
            if (free <= 0) return new Http.Reply(503, Wire.map("error", "no capacity"));
            known = new ArrayList<>();
            for (int i = 0; i < Math.min(number, free); i++) {
                double bootS = fastBoot ? 0.3 + random.nextDouble() : type.bootS * (0.6 + random.nextDouble() * 0.9);
                known.add(add(type, zone, (Boolean) request.get("prestados"), bootS).name);
            }
            rentals.put(name, known);
            Log.line("cloud", "rental " + name + " " + type.name + " " + zone + ": " + known);
        }
        return new Http.Reply(200, Wire.map("burros", new ArrayList<Object>(known)));
    }
}
