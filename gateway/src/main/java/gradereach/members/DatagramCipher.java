package gradereach.members;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Cipher;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encrypts and authenticates datagrams among the front ends of one cluster: version, nonce, then the message under AES-GCM (NIST SP
 * 800-38D), with the cluster's name as associated data. The first key encrypts, and any key decrypts. To rotate keys, add the new one
 * last on every front end, then move it to the front, then remove the old one.
 */
final class DatagramCipher {
    private static final byte VERSION = 1;
    private static final int NONCE_BYTES = 12;
    private static final int TAG_BITS = 128;

    private final List<SecretKeySpec> keys = new ArrayList<>();
    private final byte[] associatedData;
    private final SecureRandom random = new SecureRandom();

    /** @param secrets any bytes; a key is derived from each by SHA-256 */
    DatagramCipher(String cluster, List<byte[]> secrets) {
        this.associatedData = ("gradereach members " + VERSION + " " + cluster).getBytes(StandardCharsets.UTF_8);
        try {
            for (byte[] secret : secrets) {
                keys.add(new SecretKeySpec(MessageDigest.getInstance("SHA-256").digest(secret), "AES"));
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Encrypts a message as a datagram. */
    byte[] encrypt(byte[] message) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        try {
            Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
            cipher.init(Cipher.ENCRYPT_MODE, keys.get(0), new GCMParameterSpec(TAG_BITS, nonce));
            cipher.updateAAD(associatedData);
            byte[] encrypted = cipher.doFinal(message);
            return ByteBuffer.allocate(1 + NONCE_BYTES + encrypted.length).put(VERSION).put(nonce).put(encrypted).array();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Decrypts a datagram; null if it is incomplete or not from a member of this cluster. */
    byte[] decrypt(byte[] datagram) {
        if (datagram.length < 1 + NONCE_BYTES + TAG_BITS / 8 || datagram[0] != VERSION) {
            return null;
        }
        GCMParameterSpec nonce = new GCMParameterSpec(TAG_BITS, Arrays.copyOfRange(datagram, 1, 1 + NONCE_BYTES));
        for (SecretKeySpec key : keys) {
            try {
                Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
                cipher.init(Cipher.DECRYPT_MODE, key, nonce);
                cipher.updateAAD(associatedData);
                return cipher.doFinal(datagram, 1 + NONCE_BYTES, datagram.length - 1 - NONCE_BYTES);
            } catch (GeneralSecurityException e) {
                // try the next key
            }
        }
        return null;
    }
}
