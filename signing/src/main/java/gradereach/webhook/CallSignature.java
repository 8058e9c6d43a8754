package gradereach.webhook;

import com.google.protobuf.CodedOutputStream;
import gradereach.protocol.inference.ModelInferRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * What a customer signs of a gRPC inference, by the same keys and the same scheme as a webhook: {@code id.timestamp.}
 * and then the method's full name, a line feed, and the SHA-256 in hexadecimal of the message. The message is taken
 * without its {@code webhook-} parameters and with its maps in the order of their keys, so that the signature can travel
 * in it (streams) as well as beside it (metadata).
 */
public final class CallSignature {
    /** Names of metadata of a unary call, and of parameters of a message in a stream. */
    public static final String ID = "webhook-id";
    public static final String TIMESTAMP = "webhook-timestamp";
    public static final String SIGNATURE = "webhook-signature";

    private CallSignature() { }

    /** The message as it is signed and goes on: nothing of the signature in it. */
    public static ModelInferRequest withoutSignature(ModelInferRequest request) {
        if (!request.containsParameters(ID) && !request.containsParameters(TIMESTAMP)
                && !request.containsParameters(SIGNATURE)) {
            return request;
        }
        return request.toBuilder().removeParameters(ID).removeParameters(TIMESTAMP).removeParameters(SIGNATURE).build();
    }

    /** SHA-256 of a bare message. */
    public static byte[] digest(ModelInferRequest bare) {
        byte[] bytes = new byte[bare.getSerializedSize()];
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.useDeterministicSerialization();
        try {
            bare.writeTo(out);
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What is signed in the place of a webhook's body; {@code method} as in {@code inference.Service/Method}. */
    public static byte[] signedContent(String method, byte[] digest) {
        return (method + '\n' + HexFormat.of().formatHex(digest)).getBytes(StandardCharsets.US_ASCII);
    }
}
