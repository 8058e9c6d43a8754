package gradereach.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The simulator protocol, by bytes of input and output in hexadecimal, and its map of ids. */
class WireTest {
    private static final String SETTINGS = "grades.count=1\ngrades.0.name=g\ngrades.0.repeat=retryable\n"
            + "grades.0.aim=400\ngrades.0.deadline=2000\nlimits.attempts_cap=3\nextra.orders=true\nnew.key=x\n"
            + "report.columns=busy,q\n";
    /** Lists two ready executors. */
    private static final String ROSTER_UPDATE = "01 00000041 00000003 0000000000000029 01 00000002"
            + "3f800000 0000000000000000 01 0000 00 0000 0a124a07 1b5b"
            + "3fc00000 0000000000000000 01 0001 00 0000 0a9011f2 1b84";
    private static final String ACCEPTED = "02 00000033 00000003 5d3a91c4 0000 00000000 0000007c55d20a01"
            + "409f400000000000 4028000000000000 43c00000 40000000 44610000 01";
    private String errors;
    private int exitCode;

    private static String hex(String text) {
        return text.replaceAll("\\s", "");
    }

    private static String startInstance(String settings) {
        String text = HexFormat.of().formatHex(settings.getBytes(StandardCharsets.UTF_8));
        int length = settings.length();
        return String.format("00 %08x 00000003 0000000000000001 %08x", 16 + length, length) + text;
    }

    /** A frame of the time 8412.25 ms. */
    private static String frame(String... records) {
        String body = hex(String.join("", records));
        return String.format("%08x%08x", 16 + body.length() / 2, records.length) + "40c06e2000000000" + body;
    }

    private String serve(String input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        exitCode = Benchlink.serve(new ByteArrayInputStream(HexFormat.of().parseHex(hex(input))), out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
        errors = err.toString(StandardCharsets.UTF_8);
        return HexFormat.of().formatHex(out.toByteArray());
    }

    @Test
    void emptyBatchGetsEmptyReply() {
        assertEquals("0000000000000008", serve("00000010 00000000 40c06e2000000000"));
        assertEquals(0, exitCode);
    }

    /** Also shows that a record with an unknown code is ignored. */
    @Test
    void acceptedInferenceQueriesBothExecutorsAndIsForwarded() {
        String orderEnded = "0a 0000001c 00000003 0a9011f2 1b84 0000007c55d20a01 01 4008000000000000 01";
        String unknownRecord = "63 00000003 010203";
        String reply = serve(frame(startInstance(SETTINGS), ROSTER_UPDATE) + frame(ACCEPTED) + frame(unknownRecord, orderEnded));
        String statusQuery = "07 00000013 00000003 00 0000007c55d20a01 ";
        assertTrue(reply.contains(hex(statusQuery + "0a124a07 1b5b")), reply);
        assertTrue(reply.contains(hex(statusQuery + "0a9011f2 1b84")), reply);
        assertTrue(reply.contains(hex("0a 00000016 00000003 5d3a91c4")), reply);
        assertTrue(reply.contains(hex("0a9011f2 1b84")), reply);
        assertEquals("", errors);
    }

    /**
     * Guards against actions of an instance that was stopped in the batch in which it accepted an inference. The new instance
     * with the same id knows nothing of the inference, and sends no status queries.
     */
    @Test
    void stoppedInstanceMayRestartInTheSameBatch() {
        String reply = serve(frame(startInstance(SETTINGS), ROSTER_UPDATE)
                + frame(ACCEPTED, "09 00000004 00000003", startInstance(SETTINGS), ROSTER_UPDATE)
                + frame("05 00000008 00000003 5d3a91c4"));
        assertEquals(0, exitCode, errors);
        assertTrue(!reply.contains(hex("07 00000013 00000003")), reply);
    }

    @ParameterizedTest
    @CsvSource({
        "0000, ends inside a frame's length at byte 2",
        "00000008 00000000, out of range",
        "00000020 00000000 40c06e20, ends inside a frame at byte 12",
        "00000010 00000001 40c06e2000000000, no room for a record's header",
        "00000015 00000001 40c06e2000000000 06 00000009, record size 9 runs over its frame",
        "00000012 00000000 40c06e2000000000 0000, beyond its records at byte 16",
        "00000019 00000001 40c06e2000000000 05 00000004 00000003, never began",
    })
    void invalidInputIsReportedOnOneLine(String input, String message) {
        serve(input);
        assertEquals(1, exitCode);
        assertTrue(errors.contains(message) && errors.strip().lines().count() == 1, errors);
    }

    @ParameterizedTest
    @CsvSource({"grades.0.aim=400, grades.0.aim is missing", "grades.0.repeat=retryable, grades.0.repeat",
        "grades.count=1, grades.count is missing"})
    void missingSettingIsNamed(String removedLine, String message) {
        serve(frame(startInstance(SETTINGS.replace(removedLine + "\n", ""))));
        assertEquals(1, exitCode);
        assertTrue(errors.contains(message), errors);
    }

    /**
     * Guards against a removal that leaves an empty slot between a key and its home slot, so that the key is no longer found.
     * Also checks the bytes of an address.
     */
    @Test
    void keysAreFoundAfterOthersWereRemoved() {
        LongMap<String> map = new LongMap<>();
        for (long i = 0; i < 1000; i++) {
            map.put(i * 64, "v" + i);
        }
        for (long i = 0; i < 1000; i += 2) {
            map.remove(i * 64);
        }
        for (long i = 0; i < 1000; i++) {
            assertEquals(i % 2 == 0 ? null : "v" + i, map.get(i * 64));
        }
        ByteBuffer record = ByteBuffer.allocate(6);
        ReplyWriter.putAddress(record, 0x0a124a071b5bL);
        assertEquals("0a124a071b5b", HexFormat.of().formatHex(record.array()));
    }
}
