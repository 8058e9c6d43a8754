package gradereach.webhook;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * One key of the Standard Webhooks specification, sections "Signature scheme" and "Signing secrets":
 * {@code whsec_} (HMAC-SHA256, 24 to 64 bytes, scheme {@code v1}), {@code whpk_} and {@code whsk_} (Ed25519,
 * scheme {@code v1a}). Immutable; safe for all threads.
 */
public final class WebhookKey {
    private static final ThreadLocal<Mac> HMAC = ThreadLocal.withInitial(() -> {
        try {
            return Mac.getInstance("HmacSHA256");
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    });

    private final SecretKeySpec secret;
    private final byte[] seed;
    private final byte[] publicKey;
    private final long validFrom;
    private final long validUntil;

    private WebhookKey(SecretKeySpec secret, byte[] seed, byte[] publicHalf, long from, long until) {
        this.secret = secret;
        this.seed = seed;
        this.publicKey = publicHalf;
        this.validFrom = from;
        this.validUntil = until;
    }

    private WebhookKey(SecretKeySpec secret, byte[] seed, byte[] publicHalf) {
        this(secret, seed, publicHalf, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** The same key, good from one Unix second up to another: for rotation, where old and new overlap. */
    public WebhookKey validBetween(long fromSecond, long untilSecond) {
        return new WebhookKey(secret, seed, publicKey, fromSecond, untilSecond);
    }

    public boolean isValidAt(long unixSecond) {
        return unixSecond >= validFrom && unixSecond < validUntil;
    }

    /**
     * Reads a key with its prefix.
     *
     * @throws IllegalArgumentException says what is wrong and never quotes the key
     */
    public static WebhookKey parse(String text) {
        String word = text.strip();
        int mark = word.indexOf('_');
        String kind = mark < 0 ? "" : word.substring(0, mark);
        require(kind.equals("whsec") || kind.equals("whpk") || kind.equals("whsk"),
                "key has none of the prefixes whsec_, whpk_, whsk_");
        byte[] raw;
        try {
            raw = Base64.getDecoder().decode(word.substring(mark + 1));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("key is not base64 after its prefix");
        }
        switch (kind) {
            case "whsec" -> {
                require(raw.length >= 24 && raw.length <= 64, "whsec_ key holds " + raw.length + " bytes, not 24 to 64");
                return new WebhookKey(new SecretKeySpec(raw, "HmacSHA256"), null, null);
            }
            case "whpk" -> {
                require(raw.length == Ed25519Keys.SIZE, "whpk_ key holds " + raw.length + " bytes, not 32");
                require(Ed25519Keys.isValidPublicKey(raw), "whpk_ key is no point that a key can be");
                return new WebhookKey(null, null, raw);
            }
            default -> {
                require(raw.length == 32 || raw.length == 64, "whsk_ key holds " + raw.length + " bytes, not 32 or 64");
                byte[] seed = Arrays.copyOf(raw, 32);
                byte[] half = Ed25519Keys.publicKey(seed);
                require(raw.length == 32 || Arrays.equals(half, Arrays.copyOfRange(raw, 32, 64)),
                        "whsk_ key's second half is not the public part of its first");
                return new WebhookKey(null, seed, half);
            }
        }
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }

    /** A new {@code whsec_} key of 32 random bytes. */
    public static String newSecret(SecureRandom chance) {
        byte[] raw = new byte[32];
        chance.nextBytes(raw);
        return "whsec_" + Base64.getEncoder().encodeToString(raw);
    }

    /** A new {@code whsk_} key: seed and public half. */
    public static String newPrivate(SecureRandom chance) {
        byte[] seed = new byte[32];
        chance.nextBytes(seed);
        byte[] raw = Arrays.copyOf(seed, 64);
        System.arraycopy(Ed25519Keys.publicKey(seed), 0, raw, 32, 32);
        return "whsk_" + Base64.getEncoder().encodeToString(raw);
    }

    /** The {@code whpk_} form of this key's public half; null for a shared secret, which has none. */
    public String publicKeyText() {
        return publicKey == null ? null : "whpk_" + Base64.getEncoder().encodeToString(publicKey);
    }

    /** A shared secret in its {@code whsec_} form, for handing it on; null for other keys. */
    public String secretText() {
        return secret == null ? null : "whsec_" + Base64.getEncoder().encodeToString(secret.getEncoded());
    }

    /** {@code v1} or {@code v1a}. */
    public String scheme() {
        return secret != null ? "v1" : "v1a";
    }

    public boolean canSign() {
        return secret != null || seed != null;
    }

    /** The signature of {@code id.timestamp.body}, base64, without its scheme. */
    public String sign(String id, long timestamp, byte[] body) {
        byte[] signature = secret != null ? hmac(id, timestamp, body)
                : Ed25519Keys.sign(seed, publicKey, signedContent(id, timestamp, body));
        return Base64.getEncoder().encodeToString(signature);
    }

    /** Whether {@code signature} (raw bytes) is this key's; in constant time where the key is secret. */
    public boolean verify(byte[] signature, String id, long timestamp, byte[] body) {
        return secret != null ? MessageDigest.isEqual(hmac(id, timestamp, body), signature)
                : Ed25519Keys.verify(signature, publicKey, signedContent(id, timestamp, body));
    }

    private byte[] hmac(String id, long timestamp, byte[] body) {
        Mac mac = HMAC.get();
        try {
            mac.init(secret);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
        mac.update(signedPrefix(id, timestamp));
        return mac.doFinal(body);
    }

    private static byte[] signedContent(String id, long timestamp, byte[] body) {
        byte[] head = signedPrefix(id, timestamp);
        byte[] whole = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }

    private static byte[] signedPrefix(String id, long timestamp) {
        return (id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8);
    }
}
