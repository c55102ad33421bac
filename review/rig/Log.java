import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The record of what was sent, answered and run, and the broken rules. */
final class Log {
    private Log() {}

    static final long START_NS = System.nanoTime();
    private static PrintWriter out;
    static final List<String> BROKEN = new ArrayList<>();

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    static double now() { return (System.nanoTime() - START_NS) / 1e9; }

    static synchronized void line(String who, String text) {
        String line = String.format("%8.3f %-10s %s", now(), who, text);
        if (out != null) out.println(line); else System.out.println(line);
    }

    static synchronized void broken(String rule, String text) {
        BROKEN.add(rule + ": " + text);
        line("BROKEN", rule + ": " + text);
    }
}
