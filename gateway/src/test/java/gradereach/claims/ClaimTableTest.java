package gradereach.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradereach.claims.ClaimTable.ClaimReply;
import gradereach.desk.MessageIdentity;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which claims a replica grants after older claims have expired: a message that may be an expired one must not run again. */
class ClaimTableTest {
    private static final double RETENTION_MILLIS = 600_000;
    private static final long SIGNED_AT = 1_900_000_000L;
    private static final ClaimReply REFUSED = new ClaimReply(false, null, false);

    private static MessageIdentity message(String id, String signedAt) {
        long timestamp = signedAt.equals("missing") ? MessageIdentity.SIGNED_AT_UNKNOWN : SIGNED_AT + Long.parseLong(signedAt);
        return new MessageIdentity("yard", id, 1, 2, timestamp);
    }

    /** The reply that a test row names; any other name is a refusal. */
    private static ClaimReply reply(String description) {
        return switch (description) {
            case "granted" -> new ClaimReply(true, null, true);
            case "again" -> new ClaimReply(true, null, false);
            case "a's" -> new ClaimReply(false, "fe-a/1", false);
            default -> REFUSED;
        };
    }

    @ParameterizedTest
    @CsvSource({
        // signed timestamp of the message m that fe-a claims first; milliseconds until the second claim; its claimant,
        // message and signed timestamp; expected reply. Signed timestamps are seconds after SIGNED_AT.
        "0, 599999, fe-b/1, m, 0, a's", "0, 599999, fe-a/1, m, 0, again",
        "0, 600000, fe-b/1, m, 0, unknown", "0, 600000, fe-a/1, m, 0, unknown", // expired, for any claimant
        "0, 600000, fe-b/1, other, 0, unknown", "0, 600000, fe-b/1, other, -1, unknown", // it may be an expired one
        "0, 600000, fe-b/1, other, 1, granted", "0, 599999, fe-b/1, other, -1, granted",
        "300, 600000, fe-b/1, m, 300, unknown", // signed by a client whose clock is ahead
        // claimed by a front end of an earlier version
        "0, 600000, fe-b/1, m, missing, unknown", "0, 599999, fe-b/1, other, missing, granted",
        "missing, 600000, fe-b/1, m, 0, unknown", "missing, 600000, fe-b/1, other, 300, unknown",
        "missing, 600000, fe-b/1, other, 301, granted", // first claimed by an earlier version: signed 300 s ahead at most
    })
    void messagesThatMayHaveExpiredAreRefused(String signedAt, double elapsed, String claimant, String id, String laterSignedAt,
            String expected) {
        ClaimTable claimTable = new ClaimTable(10, RETENTION_MILLIS);
        assertEquals(reply("granted"), claimTable.claim(message("m", signedAt), "fe-a/1", 1, 0, SIGNED_AT + 300));
        assertEquals(reply(expected), claimTable.claim(message(id, laterSignedAt), claimant, 1, elapsed, SIGNED_AT + 900));
    }

    @ParameterizedTest
    @CsvSource({"-1, unknown", "0, unknown", "1, granted"})
    void messagesForgottenBeforeARestartAreRefused(String signedAt, String expected) {
        ClaimTable claimTable = new ClaimTable(10, RETENTION_MILLIS);
        claimTable.markForgottenUpTo(SIGNED_AT);
        assertEquals(reply(expected), claimTable.claim(message("m", signedAt), "fe-b/1", 1, 0, SIGNED_AT + 300));
    }

    /** A message whose claim was released has not run, so the claim does not bar later ones. */
    @ParameterizedTest
    @CsvSource({"m, 0", "other, -5"})
    void releasedClaimsDoNotBarLaterOnes(String id, String signedAt) {
        ClaimTable claimTable = new ClaimTable(10, RETENTION_MILLIS);
        claimTable.claim(message("m", "0"), "fe-a/1", 1, 0, SIGNED_AT + 300);
        claimTable.release("yard", "m", "fe-a/1", 1);
        assertEquals(reply("granted"), claimTable.claim(message(id, signedAt), "fe-b/1", 1, 700_000, SIGNED_AT + 900));
    }
}
