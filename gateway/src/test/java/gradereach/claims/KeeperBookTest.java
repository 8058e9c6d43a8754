package gradereach.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradereach.claims.ClaimTable.ClaimReply;
import gradereach.desk.MessageIdentity;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a keeper that lets go of claims for their age grants afterwards. */
class KeeperBookTest {
    private static final double KEPT = 600_000;
    private static final long SIGNED_AT = 1_900_000_000L;
    private static final ClaimReply CANNOT_BE_KNOWN = new ClaimReply(false, null, false);

    private static MessageIdentity message(String id, String signedAt) {
        long told = signedAt.equals("untold") ? MessageIdentity.SIGNED_AT_UNKNOWN : SIGNED_AT + Long.parseLong(signedAt);
        return new MessageIdentity("yard", id, 1, 2, told);
    }

    private static ClaimReply word(String said) {
        return switch (said) {
            case "granted" -> new ClaimReply(true, null, true);
            case "again" -> new ClaimReply(true, null, false);
            case "a's" -> new ClaimReply(false, "fe-a/1", false);
            default -> CANNOT_BE_KNOWN;
        };
    }

    @ParameterizedTest
    @CsvSource({
        // a's message as it was signed; milliseconds later, whose claim, of which message, signed when; the keeper's word
        "0, 599999, fe-b/1, m, 0, a's", "0, 599999, fe-a/1, m, 0, again",
        "0, 600000, fe-b/1, m, 0, unknown", "0, 600000, fe-a/1, m, 0, unknown", // forgotten, whoever asks
        "0, 600000, fe-b/1, other, 0, unknown", "0, 600000, fe-b/1, other, -1, unknown", // it may be one of those
        "0, 600000, fe-b/1, other, 1, granted", "0, 599999, fe-b/1, other, -1, granted",
        "300, 600000, fe-b/1, m, 300, unknown", // by a client whose clock is ahead: ours need not be set back far
        "0, 600000, fe-b/1, m, untold, unknown", "0, 599999, fe-b/1, other, untold, granted", // an earlier version asks
        "untold, 600000, fe-b/1, m, 0, unknown", "untold, 600000, fe-b/1, other, 300, unknown",
        "untold, 600000, fe-b/1, other, 301, granted", // an earlier version had asked: signed 300 s ahead at the latest
    })
    void whatMayBeForgottenIsNotGranted(String signedAt, double later, String claimant, String id, String thenSignedAt, String said) {
        ClaimTable book = new ClaimTable(10, KEPT);
        assertEquals(word("granted"), book.claim(message("m", signedAt), "fe-a/1", 1, 0, SIGNED_AT + 300));
        assertEquals(word(said), book.claim(message(id, thenSignedAt), claimant, 1, later, SIGNED_AT + 900));
    }

    @ParameterizedTest
    @CsvSource({"-1, unknown", "0, unknown", "1, granted"})
    void whatWasForgottenBeforeARestartIsNotGranted(String signedAt, String said) {
        ClaimTable book = new ClaimTable(10, KEPT);
        book.markForgottenUpTo(SIGNED_AT);
        assertEquals(word(said), book.claim(message("m", signedAt), "fe-b/1", 1, 0, SIGNED_AT + 300));
    }

    /** What was given back was not run, and is forgotten without a trace. */
    @ParameterizedTest
    @CsvSource({"m, 0", "other, -5"})
    void whatWasGivenBackBarsNothing(String id, String signedAt) {
        ClaimTable book = new ClaimTable(10, KEPT);
        book.claim(message("m", "0"), "fe-a/1", 1, 0, SIGNED_AT + 300);
        book.release("yard", "m", "fe-a/1", 1);
        assertEquals(word("granted"), book.claim(message(id, signedAt), "fe-b/1", 1, 700_000, SIGNED_AT + 900));
    }
}
