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
 * Datagrams that only front ends of one cluster can make and read: version, nonce, then AES-GCM (NIST SP 800-38D) over the message,
 * with the cluster's name authenticated beside it. The first key seals, any opens: to rotate, add the new one last everywhere, then
 * put it first, then take the old one away.
 */
final class DatagramCipher {
    private static final byte VERSION = 1;
    private static final int NONCE_BYTES = 12;
    private static final int TAG_BITS = 128;

    private final List<SecretKeySpec> keys = new ArrayList<>();
    private final byte[] associatedData;
    private final SecureRandom random = new SecureRandom();

    /** @param secrets any bytes; a key is drawn from each by SHA-256 */
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

    byte[] seal(byte[] message) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        try {
            Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
            cipher.init(Cipher.ENCRYPT_MODE, keys.get(0), new GCMParameterSpec(TAG_BITS, nonce));
            cipher.updateAAD(associatedData);
            byte[] sealed = cipher.doFinal(message);
            return ByteBuffer.allocate(1 + NONCE_BYTES + sealed.length).put(VERSION).put(nonce).put(sealed).array();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Null for what is of no member of this cluster, or no whole datagram. */
    byte[] open(byte[] datagram) {
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
                // the next key, or a stranger
            }
        }
        return null;
    }
}
