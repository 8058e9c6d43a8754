package gradereach.webhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Signing and verification by the Standard Webhooks specification. */
class KeyRingTest {
    private static final byte[] BODY = "{\"test\": 2432232314}".getBytes(StandardCharsets.UTF_8);
    private static final long NOW = 1614265330;
    private final WebhookKey secret = WebhookKey.parse("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw");
    private final WebhookKey olderSecret = WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()));
    private final WebhookKey keyPair = WebhookKey.parse(WebhookKey.newPrivateKey(new SecureRandom()));
    private final WebhookKey publicKey = WebhookKey.parse(keyPair.publicKeyText());
    private final KeyRing ring = new KeyRing(List.of(List.of(olderSecret, secret), List.of(publicKey)));

    /** The example of the specification, section "Signature scheme". */
    @Test
    void signsTheExampleOfTheSpecification() {
        assertEquals("g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=",
                secret.sign("msg_p5jXN8AQM9LWM0D4loKWxJek", NOW, BODY));
    }

    /** RFC 8032, 7.1, test 1: the public key of a seed. */
    @Test
    void derivesThePublicKeyOfTheRfcExample() {
        byte[] seed = HexFormat.of().parseHex("9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60");
        byte[] expectedKey = HexFormat.of().parseHex("d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
        assertEquals("whpk_" + Base64.getEncoder().encodeToString(expectedKey),
                WebhookKey.parse("whsk_" + Base64.getEncoder().encodeToString(seed)).publicKeyText());
    }

    @ParameterizedTest
    @CsvSource({
        // content of the header, customer, reason for the rejection
        "good, 0,", "good-other-scheme-first, 0,", "rotated, 0,", "ed25519, 1,",
        "other-body, -1, NOT_SIGNED", "other-id, -1, NOT_SIGNED", "other-time, -1, NOT_SIGNED",
        "hmac-as-v1a, -1, NOT_SIGNED", "not-base64, -1, NO_SIGNATURE", "empty, -1, NO_SIGNATURE",
        "unknown-scheme, -1, NO_SIGNATURE", "ninth-of-nine, -1, NOT_SIGNED",
    })
    void messageBelongsToTheCustomerWhoseKeySignedIt(String headerContent, int customer, SignatureRejection rejection) {
        String good = secret.sign("m1", NOW, BODY);
        String header = switch (headerContent) {
            case "good" -> "v1," + good;
            case "good-other-scheme-first" -> "v2,abc v1a,AAAA v1," + good;
            case "rotated" -> KeyRing.signatureHeader(List.of(secret, olderSecret), "m1", NOW, BODY);
            case "ed25519" -> "v1a," + keyPair.sign("m1", NOW, BODY);
            case "other-body" -> "v1," + secret.sign("m1", NOW, new byte[0]);
            case "other-id" -> "v1," + secret.sign("m2", NOW, BODY);
            case "other-time" -> "v1," + secret.sign("m1", NOW + 1, BODY);
            case "hmac-as-v1a" -> "v1a," + good;
            case "not-base64" -> "v1,%%%";
            case "empty" -> "";
            case "ninth-of-nine" -> "v1,AAAA ".repeat(8) + "v1," + good;
            default -> "v9," + good;
        };
        assertEquals(new KeyRing.VerificationResult(customer, rejection),
                ring.verify("m1", Long.toString(NOW), header, BODY, NOW, -1));
        assertEquals(customer, ring.verify("m1", Long.toString(NOW), header, BODY, NOW, 1).customer());
    }

    @ParameterizedTest
    @CsvSource(value = {
        "m1, 1614265330, 0, null", "m1, 1614265330, 300, null", "m1, 1614265330, -300, null",
        "m1, 1614265330, 301, TOO_OLD", "m1, 1614265330, -301, TOO_NEW", "m1, 12x, 0, NO_TIMESTAMP",
        "m1, -5, 0, NO_TIMESTAMP", "m1, 99999999999999, 0, NO_TIMESTAMP", "m1, null, 0, NO_TIMESTAMP",
        "'', 1614265330, 0, NO_ID", "'a b', 1614265330, 0, NO_ID", "null, 1614265330, 0, NO_ID",
    }, nullValues = "null")
    void idAndTimestampAreCheckedBeforeSignatures(String id, String timestamp, long clockOffset, SignatureRejection rejection) {
        String header = "v1," + secret.sign(id == null ? "" : id, NOW, BODY);
        assertEquals(rejection, ring.verify(id, timestamp, header, BODY, NOW + clockOffset, 0).rejection());
        assertEquals(SignatureRejection.NO_ID, ring.verify("x".repeat(129), timestamp, header, BODY, NOW, 0).rejection());
    }

    /** Old key until 100, new key from 50: a message signed with all valid keys is always accepted, one with an expired key never. */
    @ParameterizedTest
    @CsvSource({"49, true, false, 1", "50, true, true, 2", "99, true, true, 2", "100, false, true, 1"})
    void keyRotationHasNoGap(long now, boolean oldKeyValid, boolean newKeyValid, int signatures) {
        List<WebhookKey> keys = List.of(olderSecret.withValidityPeriod(Long.MIN_VALUE, 100),
                secret.withValidityPeriod(50, Long.MAX_VALUE));
        KeyRing rotating = new KeyRing(List.of(keys));
        String timestamp = Long.toString(now);
        assertEquals(oldKeyValid,
                rotating.verify("m", timestamp, "v1," + olderSecret.sign("m", now, BODY), BODY, now, 0).rejection() == null);
        assertEquals(newKeyValid,
                rotating.verify("m", timestamp, "v1," + secret.sign("m", now, BODY), BODY, now, 0).rejection() == null);
        String header = KeyRing.signatureHeader(keys, "m", now, BODY);
        assertEquals(signatures, header.split(" ").length);
        assertEquals(null, rotating.verify("m", timestamp, header, BODY, now, 0).rejection());
    }

    @ParameterizedTest
    @CsvSource({"whsec_AAAA, 24 to 64", "whpk_AAAA, not 32", "whsk_AAAA, not 32 or 64", "AAAA, prefixes",
        "whsec_???, base64"})
    void parseErrorNeverQuotesTheKey(String text, String expectedText) {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> WebhookKey.parse(text));
        assertTrue(e.getMessage().contains(expectedText), e.getMessage());
        assertFalse(e.getMessage().contains("AAAA"));
    }
}
