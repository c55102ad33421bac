import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Watches the machines for broken rules; times are those of one clock. */
final class Checker {
    private final Rig rig;
    /** The machine that each task is on. */
    private final Map<String, Machine> on = new HashMap<>();
    private final Map<String, Map<String, Machine>> byJob = new HashMap<>();
    private final Map<String, Double> used = new HashMap<>();
    private final Set<String> done = new HashSet<>();
    int starts;
    int runs;

    Checker(Rig rig) { this.rig = rig; }

    synchronized void starts(Machine machine, Machine.Task task) {
        starts++;
        Log.line(machine.name, "starts " + task);
        Machine other = on.get(task.name);
        if (other != null && other != machine) {
            Log.broken("ran_twice", task + " starts on " + machine.name + " while it is on " + other.name);
        }
        Double cancelled = task.job.cancelledAt;
        if (cancelled != null && Log.now() - cancelled > rig.cancelS) {
            Log.broken("ran_cancelled", task + " starts on " + machine.name + " " + (Log.now() - cancelled) + " s after the confirmation");
        }
    }

    synchronized void on(Machine machine, Machine.Task task) {
        runs++;
        Log.line(machine.name, "runs " + task);
        Machine other = on.put(task.name, machine);
        if (other != null && other != machine) {
            Log.broken("ran_twice", task + " runs on " + machine.name + " while it is on " + other.name);
        }
        Rig.JobInfo job = task.job;
        double cpus = used.merge(job.team, job.cpus, Double::sum);
        Double limit = rig.limits.get(job.team);
        if (limit != null && limit > 0 && cpus > limit + 1e-6) {
            Log.broken("quota", job.team + " uses " + cpus + " of " + limit + " CPUs with " + task + " on " + machine.name);
        }
        Map<String, Machine> tasks = byJob.computeIfAbsent(job.id, key -> new HashMap<>());
        tasks.put(task.name, machine);
        if (machine.spot && !job.spot) Log.broken("wrong_place", task + " on spot machine " + machine.name);
        if (job.zone != null && !job.zone.equals(machine.zone)) Log.broken("wrong_place", task + " in zone " + machine.zone);
        if (job.types != null && !job.types.contains(machine.type.name)) Log.broken("wrong_place", task + " on type " + machine.type.name);
        int same = 0;
        for (Machine m : tasks.values()) if (m.zone.equals(machine.zone)) same++;
        if (job.oneZone && same != tasks.size()) Log.broken("wrong_place", task + " in " + machine.zone + " and others in another zone");
        if (job.scatter && same > (job.tasks + 1) / 2) Log.broken("wrong_place", same + " of " + job.tasks + " tasks of " + job.id + " in " + machine.zone);
    }

    synchronized void off(Machine machine, Machine.Task task, String why) {
        Log.line(machine.name, "ends " + task + ": " + why);
        if (on.get(task.name) == machine) on.remove(task.name);
        used.merge(task.job.team, -task.job.cpus, Double::sum);
        Map<String, Machine> tasks = byJob.get(task.job.id);
        if (tasks != null && tasks.get(task.name) == machine) tasks.remove(task.name);
    }

    synchronized void done(Machine machine, Machine.Task task) { done.add(task.name); }

    synchronized boolean isDone(String task) { return done.contains(task); }

    synchronized int doneCount(Rig.JobInfo job) {
        int count = 0;
        for (int i = 0; i < job.tasks; i++) if (done.contains(job.id + "/" + i)) count++;
        return count;
    }

    synchronized void checkCancelled() {
        for (Map.Entry<String, Machine> entry : on.entrySet()) {
            Rig.JobInfo job = rig.job(entry.getKey().substring(0, entry.getKey().lastIndexOf('/')));
            Double at = job.cancelledAt;
            if (at != null && Log.now() - at > rig.cancelS && !job.reported) {
                job.reported = true;
                Log.broken("ran_cancelled", entry.getKey() + " is on " + entry.getValue().name + " " + (Log.now() - at) + " s after the confirmation");
            }
        }
    }

    synchronized int onCount(String job) {
        Map<String, Machine> tasks = byJob.get(job);
        return tasks == null ? 0 : tasks.size();
    }
}
