package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** What the cases share: a record, a temporary folder, a time limit, and the exit code. */
abstract class Case {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;
    /** The program's own exit code for a broken rule; run.sh makes 1 of it, which the JVM also uses for its own failures. */
    private static final int BROKEN_EXIT = 41;
    private static final long LIMIT_MS = 117_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Journal journal;
    Path root;
    Path dir;

    abstract int run() throws Exception;

    /** Runs the case whose folder is the first argument; the second is the repository's root. */
    static void main(Case test, String[] arguments) throws IOException {
        Path folder = Path.of(arguments[0]);
        test.root = Path.of(arguments[1]);
        test.journal = new Journal(folder.resolve("record.txt"));
        test.dir = Files.createTempDirectory("cleathitch-review");
        if (System.getenv("KEEP") == null) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> test.deleteFolder()));
        } else {
            System.out.println("logs in " + test.dir);
        }
        Thread watchdog = new Thread(() -> {
            Wire.sleep(LIMIT_MS);
            test.journal.line("RESULT 2: the time limit is over");
            Runtime.getRuntime().exit(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code;
        try {
            code = test.run();
        } catch (Exception e) {
            e.printStackTrace();
            test.journal.line("the case couldn't run: " + e);
            code = NOT_RUN;
        }
        test.journal.line("RESULT " + code + (code == BROKEN ? ": the rule was broken" : code == HELD ? ": the rule held" : ": the case couldn't run"));
        System.out.println("TROUBLE=" + (test.trouble ? 1 : 0) + " result " + code + " " + test.journal.violations());
        System.exit(code == BROKEN ? BROKEN_EXIT : code);
    }

    private void deleteFolder() {
        Wire.sleep(200);
        try (Stream<Path> files = Files.walk(dir)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("can't delete " + dir);
        }
    }

    boolean await(String what, double forS, BooleanSupplier condition) {
        long endMs = Wire.nowMs() + (long) (forS * 1000);
        while (Wire.nowMs() < endMs) {
            if (condition.getAsBoolean()) return true;
            Wire.sleep(20);
        }
        journal.line("not within " + forS + " s: " + what);
        return false;
    }
}
