package gradereach.webhook;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * The keys of all customers; verifies a message and finds the customer who signed it. Messages carry no key id, so the keys are
 * tried in order, those of the customer last seen on the same connection first, which usually takes one verification.
 */
public final class KeyRing {
    /** Tolerated clock difference in both directions, as the specification recommends. */
    public static final long TOLERANCE_SECONDS = 300;
    /** How long a message can be replayed: its timestamp may be ahead by the tolerance, and is valid until it is as far behind. */
    public static final double REPLAY_WINDOW_MILLIS = 2000d * TOLERANCE_SECONDS;
    /** Longer ids are rejected: an id is stored for as long as its message can be replayed. */
    static final int MAX_ID_LENGTH = 128;
    /** Signatures of a header that are verified; several are needed for key rotation, more would only cost time. */
    private static final int MAX_SIGNATURES = 8;

    /** The index of the customer who signed the message, or -1 and the reason for the rejection. */
    public record VerificationResult(int customer, SignatureRejection rejection) { }

    private record ParsedSignature(boolean hmac, byte[] bytes) { }

    private final List<List<WebhookKey>> keysByCustomer;

    /** @param keysByCustomer keys by customer index */
    public KeyRing(List<List<WebhookKey>> keysByCustomer) {
        this.keysByCustomer = keysByCustomer.stream().map(List::copyOf).toList();
    }

    /** All keys of a customer, in the order in which they are tried. */
    public List<WebhookKey> keysOf(int customer) {
        return keysByCustomer.get(customer);
    }

    /**
     * Verifies one message by the Standard Webhooks specification.
     *
     * @param signatures value of {@code webhook-signature}
     * @param nowSeconds the current Unix time
     * @param likelyCustomer the customer to try first, -1 for none
     */
    public VerificationResult verify(String id, String timestamp, String signatures, byte[] body, long nowSeconds, int likelyCustomer) {
        if (!isValidId(id)) {
            return rejected(SignatureRejection.NO_ID);
        }
        long timestampSeconds = parseSeconds(timestamp);
        if (timestampSeconds < 0) {
            return rejected(SignatureRejection.NO_TIMESTAMP);
        }
        if (timestampSeconds < nowSeconds - TOLERANCE_SECONDS) {
            return rejected(SignatureRejection.TOO_OLD);
        }
        if (timestampSeconds > nowSeconds + TOLERANCE_SECONDS) {
            return rejected(SignatureRejection.TOO_NEW);
        }
        List<ParsedSignature> parsedSignatures = parseSignatures(signatures);
        if (parsedSignatures.isEmpty()) {
            return rejected(SignatureRejection.NO_SIGNATURE);
        }
        if (likelyCustomer >= 0 && isSignedBy(likelyCustomer, parsedSignatures, id, timestampSeconds, body, nowSeconds)) {
            return new VerificationResult(likelyCustomer, null);
        }
        for (int customer = 0; customer < keysByCustomer.size(); customer++) {
            if (customer != likelyCustomer && isSignedBy(customer, parsedSignatures, id, timestampSeconds, body, nowSeconds)) {
                return new VerificationResult(customer, null);
            }
        }
        return rejected(SignatureRejection.NOT_SIGNED);
    }

    private boolean isSignedBy(int customer, List<ParsedSignature> parsedSignatures, String id, long timestampSeconds, byte[] body,
            long nowSeconds) {
        for (WebhookKey key : keysByCustomer.get(customer)) {
            if (!key.isValidAt(nowSeconds)) {
                continue;
            }
            boolean hmac = key.scheme().equals("v1");
            for (ParsedSignature signature : parsedSignatures) {
                if (signature.hmac == hmac && key.verify(signature.bytes, id, timestampSeconds, body)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static VerificationResult rejected(SignatureRejection reason) {
        return new VerificationResult(-1, reason);
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
        List<ParsedSignature> parsedSignatures = new ArrayList<>(1);
        if (header == null) {
            return parsedSignatures;
        }
        for (String entry : header.split(" ", MAX_SIGNATURES + 1)) {
            int comma = entry.indexOf(',');
            String scheme = comma < 0 ? "" : entry.substring(0, comma);
            if (parsedSignatures.size() == MAX_SIGNATURES || !scheme.equals("v1") && !scheme.equals("v1a")) {
                continue;
            }
            try {
                parsedSignatures.add(new ParsedSignature(scheme.equals("v1"), Base64.getDecoder().decode(entry.substring(comma + 1))));
            } catch (IllegalArgumentException e) {
                // Ignored: another signature in the header may be valid.
            }
        }
        return parsedSignatures;
    }

    /** The value of {@code webhook-signature}: one signature for each valid key that can sign, so that a rotation has no gap. */
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
