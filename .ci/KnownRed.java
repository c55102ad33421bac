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
 * Judges a test run by KNOWN-RED.txt: passes over just the tests that stand there and prints them. A line is
 * "class#test | cause | issue", and there are three at most. Any other failure, a fourth line, a line of
 * another form and a line that names no test of the run fail.
 */
class KnownRed {
    private static final int MOST = 3;

    public static void main(String[] args) throws Exception {
        List<String> faults = new ArrayList<>();
        Set<String> listed = new HashSet<>();
        List<String> lines = Files.readAllLines(Path.of(args[0])).stream().filter(line -> !line.isBlank()).toList();
        if (lines.size() > MOST) faults.add(lines.size() + " lines, " + MOST + " at most");
        for (String line : lines) {
            String[] parts = line.split("\\|");
            if (parts.length != 3 || parts[0].isBlank() || parts[1].isBlank() || parts[2].isBlank()) {
                faults.add("not 'class#test | cause | issue': " + line);
            } else {
                listed.add(parts[0].trim());
            }
        }

        Set<String> ran = new HashSet<>();
        Set<String> failed = new HashSet<>();
        File[] reports = new File(args[1]).listFiles((dir, name) -> name.startsWith("TEST-") && name.endsWith(".xml"));
        for (File report : reports == null ? new File[0] : reports) {
            var cases = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(report).getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element test = (Element) cases.item(i);
                String name = test.getAttribute("classname") + "#" + test.getAttribute("name");
                ran.add(name);
                if (test.getElementsByTagName("failure").getLength() + test.getElementsByTagName("error").getLength() > 0) failed.add(name);
            }
        }
        if (ran.isEmpty()) faults.add("no test ran");
        for (String name : listed) {
            if (!ran.contains(name)) faults.add("no such test: " + name);
            else System.out.println("known red, " + (failed.contains(name) ? "fails" : "passes now") + ": " + name);
        }
        for (String name : failed) if (!listed.contains(name)) faults.add("fails and isn't known: " + name);
        faults.forEach(fault -> System.out.println("KNOWN-RED: " + fault));
        if (!faults.isEmpty()) System.exit(1);
    }
}
