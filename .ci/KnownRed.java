import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;

/**
 * Decides whether a test run passes, given the tests that KNOWN-RED.txt lists because of a known fault. Listed tests may fail
 * and are printed. The run fails if any other test failed, if no test ran at all, or if the list has more than
 * {@link #MAX_LISTED_TESTS} lines, a line that is not of the form "class#test | cause | issue", or a test that did not run.
 *
 * <p>Usage: java KnownRed.java LIST REPORT_DIRECTORY, the latter with Surefire's XML reports. Exit code 1 if the run fails.
 */
class KnownRed {
    private static final int MAX_LISTED_TESTS = 3;

    public static void main(String[] args) throws Exception {
        List<String> faults = new ArrayList<>();
        Set<String> listed = readList(Path.of(args[0]), faults);
        TestRun run = TestRun.read(new File(args[1]));

        if (run.executed.isEmpty()) faults.add("no test ran");
        for (String test : listed) {
            if (!run.executed.contains(test)) faults.add("listed test did not run: " + test);
            else System.out.println("known red, " + (run.failed.contains(test) ? "fails" : "passes now") + ": " + test);
        }
        for (String test : run.failed) if (!listed.contains(test)) faults.add("failed and isn't listed: " + test);

        faults.forEach(fault -> System.out.println("KNOWN-RED: " + fault));
        if (!faults.isEmpty()) System.exit(1);
    }

    /** Reads the names of the listed tests; errors in the list itself are added to the faults. */
    private static Set<String> readList(Path file, List<String> faults) throws Exception {
        Set<String> listed = new HashSet<>();
        List<String> lines = Files.readAllLines(file).stream().filter(line -> !line.isBlank()).toList();
        if (lines.size() > MAX_LISTED_TESTS) faults.add(file + " has " + lines.size() + " lines, at most " + MAX_LISTED_TESTS + " are allowed");
        for (String line : lines) {
            String[] parts = line.split("\\|");
            if (parts.length != 3 || parts[0].isBlank() || parts[1].isBlank() || parts[2].isBlank()) {
                faults.add("line is not of the form 'class#test | cause | issue': " + line);
            } else {
                listed.add(parts[0].trim());
            }
        }
        return listed;
    }

    /** The executed and the failed tests of one run, as "class#test", read from Surefire's reports. */
    private record TestRun(Set<String> executed, Set<String> failed) {
        static TestRun read(File directory) throws Exception {
            TestRun run = new TestRun(new HashSet<>(), new HashSet<>());
            File[] reports = directory.listFiles((parent, name) -> name.startsWith("TEST-") && name.endsWith(".xml"));
            for (File report : reports == null ? new File[0] : reports) run.add(report);
            return run;
        }

        private void add(File report) throws Exception {
            var cases = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(report).getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element test = (Element) cases.item(i);
                String name = test.getAttribute("classname") + "#" + test.getAttribute("name");
                executed.add(name);
                if (test.getElementsByTagName("failure").getLength() + test.getElementsByTagName("error").getLength() > 0) failed.add(name);
            }
        }
    }
}
