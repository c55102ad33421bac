package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Writes record.txt, and keeps which task is on which machine. Thread-safe. */
final class Journal implements AutoCloseable {
    private final long startMs = Wire.nowMs();
    private final PrintWriter out;
    private final Map<String, Set<String>> machinesByTask = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int startCount;

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (Wire.nowMs() - startMs) / 1000.0, text);
    }

    double seconds() {
        return (Wire.nowMs() - startMs) / 1000.0;
    }

    synchronized void violation(String text) {
        violations.add(text);
        line("RULE BROKEN " + text);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** A task has its image and is on its machine from now on. */
    synchronized void taskStarts(String task, long attempt, String machine) {
        startCount++;
        Set<String> machines = machinesByTask.computeIfAbsent(task, key -> new TreeSet<>());
        line("task " + task + " attempt " + attempt + " starts on " + machine);
        if (!machines.isEmpty() && !machines.contains(machine)) {
            violation("ran_twice: task " + task + " starts on " + machine + " while it is on " + machines);
        }
        machines.add(machine);
    }

    synchronized void taskEnds(String task, long attempt, String machine, String why) {
        machinesByTask.getOrDefault(task, new TreeSet<>()).remove(machine);
        line("task " + task + " attempt " + attempt + " is no longer on " + machine + ": " + why);
    }

    synchronized int startCount() {
        return startCount;
    }

    synchronized Set<String> machinesOf(String task) {
        return new TreeSet<>(machinesByTask.getOrDefault(task, Set.of()));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
