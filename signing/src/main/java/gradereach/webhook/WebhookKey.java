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
 * A key as in the Standard Webhooks specification, sections "Signature scheme" and "Signing secrets":
 * {@code whsec_} (HMAC-SHA256, 24 to 64 bytes, scheme {@code v1}), {@code whpk_} and {@code whsk_} (Ed25519,
 * scheme {@code v1a}). Immutable and thread-safe.
 */
public final class WebhookKey {
    private static final ThreadLocal<Mac> HMAC = ThreadLocal.withInitial(() -> {
        try {
            return Mac.getInstance("HmacSHA256");
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    });

    /** Shared secret; null for an Ed25519 key. */
    private final SecretKeySpec secret;
    /** Private part of an Ed25519 key; null if only the public key is known, and for a shared secret. */
    private final byte[] seed;
    /** Null for a shared secret. */
    private final byte[] publicKey;
    // In Unix seconds, the end excluded.
    private final long validFrom;
    private final long validUntil;

    private WebhookKey(SecretKeySpec secret, byte[] seed, byte[] publicKey, long validFrom, long validUntil) {
        this.secret = secret;
        this.seed = seed;
        this.publicKey = publicKey;
        this.validFrom = validFrom;
        this.validUntil = validUntil;
    }

    private WebhookKey(SecretKeySpec secret, byte[] seed, byte[] publicKey) {
        this(secret, seed, publicKey, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** Returns this key with a validity period in Unix seconds, the end excluded. Old and new keys overlap during a rotation. */
    public WebhookKey withValidityPeriod(long fromSecond, long untilSecond) {
        return new WebhookKey(secret, seed, publicKey, fromSecond, untilSecond);
    }

    /** Whether the key is in its validity period. */
    public boolean isValidAt(long unixSecond) {
        return unixSecond >= validFrom && unixSecond < validUntil;
    }

    /**
     * Parses a key with its prefix.
     *
     * @throws IllegalArgumentException if it is invalid; the message never quotes the key
     */
    public static WebhookKey parse(String text) {
        String stripped = text.strip();
        int separator = stripped.indexOf('_');
        String prefix = separator < 0 ? "" : stripped.substring(0, separator);
        require(prefix.equals("whsec") || prefix.equals("whpk") || prefix.equals("whsk"),
                "key has none of the prefixes whsec_, whpk_, whsk_");
        byte[] raw;
        try {
            raw = Base64.getDecoder().decode(stripped.substring(separator + 1));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("key is not base64 after its prefix");
        }
        switch (prefix) {
            case "whsec" -> {
                require(raw.length >= 24 && raw.length <= 64, "whsec_ key holds " + raw.length + " bytes, not 24 to 64");
                return new WebhookKey(new SecretKeySpec(raw, "HmacSHA256"), null, null);
            }
            case "whpk" -> {
                require(raw.length == Ed25519Keys.SIZE, "whpk_ key holds " + raw.length + " bytes, not 32");
                require(Ed25519Keys.isValidPublicKey(raw), "whpk_ key is not a valid Ed25519 public key");
                return new WebhookKey(null, null, raw);
            }
            default -> {
                require(raw.length == 32 || raw.length == 64, "whsk_ key holds " + raw.length + " bytes, not 32 or 64");
                byte[] seed = Arrays.copyOf(raw, 32);
                byte[] publicKey = Ed25519Keys.publicKey(seed);
                require(raw.length == 32 || Arrays.equals(publicKey, Arrays.copyOfRange(raw, 32, 64)),
                        "whsk_ key's second half is not the public part of its first");
                return new WebhookKey(null, seed, publicKey);
            }
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /** Generates a {@code whsec_} key of 32 random bytes. */
    public static String newSecret(SecureRandom random) {
        byte[] raw = new byte[32];
        random.nextBytes(raw);
        return "whsec_" + Base64.getEncoder().encodeToString(raw);
    }

    /** Generates a {@code whsk_} key: seed and public key. */
    public static String newPrivateKey(SecureRandom random) {
        byte[] seed = new byte[32];
        random.nextBytes(seed);
        byte[] raw = Arrays.copyOf(seed, 64);
        System.arraycopy(Ed25519Keys.publicKey(seed), 0, raw, 32, 32);
        return "whsk_" + Base64.getEncoder().encodeToString(raw);
    }

    /** The public key in its {@code whpk_} form; null for a shared secret. */
    public String publicKeyText() {
        return publicKey == null ? null : "whpk_" + Base64.getEncoder().encodeToString(publicKey);
    }

    /** The shared secret in its {@code whsec_} form; null for other keys. */
    public String secretText() {
        return secret == null ? null : "whsec_" + Base64.getEncoder().encodeToString(secret.getEncoded());
    }

    /** The signature scheme, {@code v1} or {@code v1a}. */
    public String scheme() {
        return secret != null ? "v1" : "v1a";
    }

    /** Whether the key can sign; a {@code whpk_} key can only verify. */
    public boolean canSign() {
        return secret != null || seed != null;
    }

    /** The signature of {@code id.timestamp.body}, in base64, without the scheme. */
    public String sign(String id, long timestamp, byte[] body) {
        byte[] signature = secret != null ? hmac(id, timestamp, body)
                : Ed25519Keys.sign(seed, publicKey, signedContent(id, timestamp, body));
        return Base64.getEncoder().encodeToString(signature);
    }

    /** Verifies a signature (raw bytes) with this key; in constant time for a shared secret. */
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
        byte[] prefix = signedPrefix(id, timestamp);
        byte[] content = Arrays.copyOf(prefix, prefix.length + body.length);
        System.arraycopy(body, 0, content, prefix.length, body.length);
        return content;
    }

    private static byte[] signedPrefix(String id, long timestamp) {
        return (id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8);
    }
}
