package gradereach.webhook;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * All customers' live keys; says whose a message is. The specification names no key in a message, so keys are
 * tried in turn, those of the customer last seen on the same connection first: one check a message as a rule.
 */
public final class KeyRing {
    /** Five minutes each way, as the specification advises. */
    public static final long TOLERANCE_SECONDS = 300;
    /** For how long a message can be played again: its timestamp may lie ahead by the tolerance, and is good as long after. */
    public static final double REPLAY_WINDOW_MILLIS = 2000d * TOLERANCE_SECONDS;
    /** Longer ones are refused: an id is kept for as long as its message could be replayed. */
    static final int MAX_ID_LENGTH = 128;
    /** Several signatures in a header serve rotation; more than these only cost us work. */
    private static final int MAX_SIGNATURES = 8;

    /** Whose it is, or why it is nobody's; {@code customer} is -1 then. */
    public record VerificationResult(int customer, SignatureRejection rejection) { }

    private record ParsedSignature(boolean hmac, byte[] bytes) { }

    private final List<List<WebhookKey>> keysOf;

    /** {@code keysOf} by customer index. */
    public KeyRing(List<List<WebhookKey>> keysOf) {
        this.keysOf = keysOf.stream().map(List::copyOf).toList();
    }

    public List<WebhookKey> keysOf(int customer) {
        return keysOf.get(customer);
    }

    /**
     * Judges one message by the Standard Webhooks specification.
     *
     * @param nowSeconds Unix time here
     * @param likely the customer to try first, -1 for none
     */
    public VerificationResult verify(String id, String timestamp, String signatures, byte[] body, long nowSeconds, int likely) {
        if (!isValidId(id)) {
            return rejected(SignatureRejection.NO_ID);
        }
        long at = parseSeconds(timestamp);
        if (at < 0) {
            return rejected(SignatureRejection.NO_TIMESTAMP);
        }
        if (at < nowSeconds - TOLERANCE_SECONDS) {
            return rejected(SignatureRejection.TOO_OLD);
        }
        if (at > nowSeconds + TOLERANCE_SECONDS) {
            return rejected(SignatureRejection.TOO_NEW);
        }
        List<ParsedSignature> given = parseSignatures(signatures);
        if (given.isEmpty()) {
            return rejected(SignatureRejection.NO_SIGNATURE);
        }
        if (likely >= 0 && signedBy(likely, given, id, at, body, nowSeconds)) {
            return new VerificationResult(likely, null);
        }
        for (int customer = 0; customer < keysOf.size(); customer++) {
            if (customer != likely && signedBy(customer, given, id, at, body, nowSeconds)) {
                return new VerificationResult(customer, null);
            }
        }
        return rejected(SignatureRejection.NOT_SIGNED);
    }

    private boolean signedBy(int customer, List<ParsedSignature> given, String id, long at, byte[] body, long now) {
        for (WebhookKey key : keysOf.get(customer)) {
            if (!key.isValidAt(now)) {
                continue;
            }
            boolean hmac = key.scheme().equals("v1");
            for (ParsedSignature one : given) {
                if (one.hmac == hmac && key.verify(one.bytes, id, at, body)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static VerificationResult rejected(SignatureRejection why) {
        return new VerificationResult(-1, why);
    }

    private static boolean isValidId(String id) {
        if (id == null || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            return false;
        }
        return id.chars().allMatch(c -> c > ' ' && c < 127);
    }

    private static long parseSeconds(String text) {
        if (text == null || text.isEmpty() || text.length() > 12 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Long.parseLong(text);
    }

    private static List<ParsedSignature> parseSignatures(String header) {
        List<ParsedSignature> given = new ArrayList<>(1);
        if (header == null) {
            return given;
        }
        for (String word : header.split(" ", MAX_SIGNATURES + 1)) {
            int comma = word.indexOf(',');
            String scheme = comma < 0 ? "" : word.substring(0, comma);
            if (given.size() == MAX_SIGNATURES || !scheme.equals("v1") && !scheme.equals("v1a")) {
                continue;
            }
            try {
                given.add(new ParsedSignature(scheme.equals("v1"), Base64.getDecoder().decode(word.substring(comma + 1))));
            } catch (IllegalArgumentException e) {
                // One that is not base64 counts as none: another in the header may be good.
            }
        }
        return given;
    }

    /** The value of {@code webhook-signature}: one signature a live key that can sign, so that rotation has no gap. */
    public static String signatureHeader(List<WebhookKey> keys, String id, long timestamp, byte[] body) {
        StringBuilder value = new StringBuilder();
        for (WebhookKey key : keys) {
            if (key.canSign() && key.isValidAt(timestamp)) {
                value.append(value.length() == 0 ? "" : " ").append(key.scheme()).append(',')
                        .append(key.sign(id, timestamp, body));
            }
        }
        return value.toString();
    }
}
