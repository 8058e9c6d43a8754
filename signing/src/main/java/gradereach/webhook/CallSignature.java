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
 * The content that a customer signs for a gRPC inference, with the same keys and scheme as for a webhook: {@code id.timestamp.}
 * followed by the method's full name, a line feed, and the SHA-256 of the message in hexadecimal. The message is serialized
 * without its {@code webhook-} parameters and with its maps sorted by key, so that the signature can be carried in the message
 * (streams) as well as in the metadata (unary calls).
 */
public final class CallSignature {
    /** Keys of the metadata of a unary call and of the parameters of a message in a stream. */
    public static final String ID = "webhook-id";
    public static final String TIMESTAMP = "webhook-timestamp";
    public static final String SIGNATURE = "webhook-signature";

    private CallSignature() { }

    /** The message without the parameters of the signature, as it is signed and passed on. */
    public static ModelInferRequest withoutSignature(ModelInferRequest request) {
        if (!request.containsParameters(ID) && !request.containsParameters(TIMESTAMP)
                && !request.containsParameters(SIGNATURE)) {
            return request;
        }
        return request.toBuilder().removeParameters(ID).removeParameters(TIMESTAMP).removeParameters(SIGNATURE).build();
    }

    /** The SHA-256 of a message without its signature. */
    public static byte[] digest(ModelInferRequest unsigned) {
        byte[] bytes = new byte[unsigned.getSerializedSize()];
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.useDeterministicSerialization();
        try {
            unsigned.writeTo(out);
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The content that is signed in place of a webhook's body; {@code method} as in {@code inference.Service/Method}. */
    public static byte[] signedContent(String method, byte[] digest) {
        return (method + '\n' + HexFormat.of().formatHex(digest)).getBytes(StandardCharsets.US_ASCII);
    }
}
