import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** How long each task still has to run; saved progress is stored outside the machines. */
final class Progress {
    private final Map<String, Double> left = new HashMap<>();

    synchronized double leftS(String task, Rig.JobInfo job, Random random) { return left.computeIfAbsent(task, key -> job.runS(random)); }

    synchronized void save(String task, double ranS) { left.computeIfPresent(task, (key, value) -> Math.max(0.1, value - ranS)); }
}
