package gradereach.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Runs the command line with valid and invalid arguments. */
class MainTest {
    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "'' | 2 | subcommand is missing", "version | 0 | gradereach", "nonsense | 2 | Unmatched", "serve | 2 | EDGE_CONFIG",
        "check FOLDER/none.json | 2 | cannot be read", "check FOLDER/bad.json | 2 | /: required property 'name'",
        "serve FOLDER/bad.json | 2 | /: required property 'name'", "rehearse none | 2 | none: no shipped day",
        "rehearse | 2 | Missing required parameter: 'DAY'", "rehearse soak --seed x | 2 | --seed", "rehearse soak --only NONE | 2 | --only",
        "rehearse soak --seconds 0 | 2 | at least 1", "rehearse soak --only RESET --without RESET | 2 | nothing is left",
        "keys make FOLDER/k | 0 | FOLDER/k", "keys make FOLDER/old | 1 | is there already",
        "keys make --ed25519 FOLDER/p | 0 | whpk_", "keys public FOLDER/old | 2 | prefixes",
        "call http://127.0.0.1:1 m --key FOLDER/none | 2 | --key: cannot be read",
        "call http://127.0.0.1:1 m --key FOLDER/old | 2 | --key: key has none", "completion | 0 | complete -F",
        "ledger unknown FOLDER/none | 2 | no such folder", "ledger unknown FOLDER | 0 | 0 unknown of 0",
        "ledger show FOLDER yard a | 1 | not there",
        "ledger verify FOLDER/broken | 1 | 0000000000000001.ledger: bytes 0 to 3: no ledger segment",
    })
    void printsExpectedTextAndExitCode(String args, int exitCode, String expectedText) throws Exception {
        Files.writeString(folder.resolve("bad.json"), "{}");
        Files.writeString(folder.resolve("old"), "x");
        Files.createDirectories(folder.resolve("broken"));
        Files.writeString(folder.resolve("broken/0000000000000001.ledger"), "???");
        Files.writeString(folder.resolve("broken/0000000000000002.ledger"), "gradereach ledger 1\n");
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream out = System.out;
        PrintStream err = System.err;
        try (PrintStream captured = new PrintStream(output, true)) {
            System.setOut(captured);
            System.setErr(captured);
            CommandLine commandLine = Main.commandLine().setErr(new PrintWriter(captured, true)).setOut(new PrintWriter(captured, true));
            String folderPath = folder.toString();
            assertEquals(exitCode, commandLine.execute(args.isEmpty() ? new String[0] : args.replace("FOLDER", folderPath).split(" ")));
            assertTrue(output.toString().contains(expectedText.replace("FOLDER", folderPath)), output.toString());
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
        if (Files.exists(folder.resolve("k"))) {
            assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(folder.resolve("k"))));
        }
    }
}
