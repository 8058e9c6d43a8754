package gradereach.oip;

import com.fasterxml.jackson.core.JsonGenerator;
import com.google.protobuf.ByteString;
import gradereach.message.InvalidMessageException;
import gradereach.protocol.inference.InferTensorContents;
import gradereach.protocol.inference.ModelInferRequest.InferInputTensor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Writes the data of a gRPC tensor as elements of a flat JSON array; rejects data that do not match the shape. */
final class TensorWriter {
    /** Far above the size of any message; keeps the product of the dimensions within a long. */
    private static final long MAX_ELEMENTS = 1L << 28;
    private static final int LENGTH_PREFIX_BYTES = 4;

    private TensorWriter() { }

    /** Writes data that the tensor contains itself. */
    static void writeContents(JsonGenerator out, InferInputTensor tensor, String path) throws IOException, InvalidMessageException {
        long count = elementCount(tensor, path);
        InferTensorContents contents = tensor.getContents();
        String dataPath = path + ".contents";
        switch (tensor.getDatatype()) {
            case "BOOL" -> {
                requireFilled(contents.getBoolContentsCount(), count, dataPath);
                for (boolean value : contents.getBoolContentsList()) {
                    out.writeBoolean(value);
                }
            }
            case "INT8", "INT16", "INT32" -> {
                requireFilled(contents.getIntContentsCount(), count, dataPath);
                for (int i = 0; i < count; i++) {
                    out.writeNumber(contents.getIntContents(i));
                }
            }
            case "INT64" -> {
                requireFilled(contents.getInt64ContentsCount(), count, dataPath);
                for (int i = 0; i < count; i++) {
                    out.writeNumber(contents.getInt64Contents(i));
                }
            }
            case "UINT8", "UINT16", "UINT32" -> {
                requireFilled(contents.getUintContentsCount(), count, dataPath);
                for (int i = 0; i < count; i++) {
                    out.writeNumber(Integer.toUnsignedLong(contents.getUintContents(i)));
                }
            }
            case "UINT64" -> {
                requireFilled(contents.getUint64ContentsCount(), count, dataPath);
                for (int i = 0; i < count; i++) {
                    out.writeNumber(Long.toUnsignedString(contents.getUint64Contents(i)));
                }
            }
            case "FP32" -> {
                requireFilled(contents.getFp32ContentsCount(), count, dataPath);
                for (int i = 0; i < count; i++) {
                    out.writeNumber((float) MessageChecks.requireFinite(contents.getFp32Contents(i), dataPath));
                }
            }
            case "FP64" -> {
                requireFilled(contents.getFp64ContentsCount(), count, dataPath);
                for (int i = 0; i < count; i++) {
                    out.writeNumber(MessageChecks.requireFinite(contents.getFp64Contents(i), dataPath));
                }
            }
            case "BYTES" -> {
                requireFilled(contents.getBytesContentsCount(), count, dataPath);
                for (ByteString value : contents.getBytesContentsList()) {
                    out.writeString(decodeUtf8(value, dataPath));
                }
            }
            default -> throw unsupportedDatatype(tensor, path);
        }
    }

    /**
     * Writes data that the message carries outside of its tensors: elements in little-endian order without padding, elements of
     * BYTES prefixed with their length in four bytes.
     *
     * @param dataPath path of the data in the message, for errors
     * @param path path of the tensor in the message, for errors
     */
    static void writeRaw(JsonGenerator out, InferInputTensor tensor, ByteString data, String dataPath, String path)
            throws IOException, InvalidMessageException {
        long count = elementCount(tensor, path);
        ByteBuffer buffer = data.asReadOnlyByteBuffer().order(ByteOrder.LITTLE_ENDIAN);
        String datatype = tensor.getDatatype();
        int width = elementBytes(tensor, path);
        MessageChecks.require(width == 0 || buffer.remaining() == width * count, dataPath,
                buffer.remaining() + " bytes where shape and datatype say " + width * count);
        for (long i = 0; i < count; i++) {
            switch (datatype) {
                case "BOOL" -> out.writeBoolean(buffer.get() != 0);
                case "INT8" -> out.writeNumber(buffer.get());
                case "UINT8" -> out.writeNumber(buffer.get() & 0xff);
                case "INT16" -> out.writeNumber(buffer.getShort());
                case "UINT16" -> out.writeNumber(buffer.getShort() & 0xffff);
                case "INT32" -> out.writeNumber(buffer.getInt());
                case "UINT32" -> out.writeNumber(Integer.toUnsignedLong(buffer.getInt()));
                case "INT64" -> out.writeNumber(buffer.getLong());
                case "UINT64" -> out.writeNumber(Long.toUnsignedString(buffer.getLong()));
                case "FP32" -> out.writeNumber((float) MessageChecks.requireFinite(buffer.getFloat(), dataPath));
                case "FP64" -> out.writeNumber(MessageChecks.requireFinite(buffer.getDouble(), dataPath));
                default -> out.writeString(readText(buffer, i, dataPath));
            }
        }
        MessageChecks.require(!buffer.hasRemaining(), dataPath, "goes on after its last element");
    }

    /** Returns the size of one element in bytes, 0 for elements of variable length. */
    private static int elementBytes(InferInputTensor tensor, String path) throws InvalidMessageException {
        return switch (tensor.getDatatype()) {
            case "BOOL", "INT8", "UINT8" -> Byte.BYTES;
            case "INT16", "UINT16" -> Short.BYTES;
            case "INT32", "UINT32", "FP32" -> Integer.BYTES;
            case "INT64", "UINT64", "FP64" -> Long.BYTES;
            case "BYTES" -> 0;
            default -> throw unsupportedDatatype(tensor, path);
        };
    }

    private static String readText(ByteBuffer buffer, long index, String path) throws InvalidMessageException {
        MessageChecks.require(buffer.remaining() >= LENGTH_PREFIX_BYTES, path, "ends before element " + index);
        int length = buffer.getInt();
        MessageChecks.require(length >= 0 && length <= buffer.remaining(), path, "ends within element " + index);
        ByteBuffer value = buffer.slice(buffer.position(), length);
        buffer.position(buffer.position() + length);
        return decodeUtf8(value, path);
    }

    /** Returns the number of elements by the tensor's shape. */
    private static long elementCount(InferInputTensor tensor, String path) throws InvalidMessageException {
        long count = 1;
        for (long size : tensor.getShapeList()) {
            MessageChecks.require(size >= 0, path + ".shape", "below 0");
            MessageChecks.require(size == 0 || count <= MAX_ELEMENTS / size, path + ".shape",
                    "more than " + MAX_ELEMENTS + " elements");
            count *= size;
        }
        return count;
    }

    private static void requireFilled(int present, long count, String path) throws InvalidMessageException {
        MessageChecks.require(present == count, path, present + " elements where the shape says " + count);
    }

    private static String decodeUtf8(ByteString value, String path) throws InvalidMessageException {
        return decodeUtf8(value.asReadOnlyByteBuffer(), path);
    }

    /** JSON strings are text, so BYTES elements must be valid UTF-8. */
    private static String decodeUtf8(ByteBuffer value, String path) throws InvalidMessageException {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(value).toString();
        } catch (CharacterCodingException e) {
            throw new InvalidMessageException(path + ": no UTF-8, which JSON cannot carry to executors");
        }
    }

    private static InvalidMessageException unsupportedDatatype(InferInputTensor tensor, String path) {
        String error = tensor.getDatatype().isEmpty() ? "missing" : "not one that JSON can carry";
        return new InvalidMessageException(path + ".datatype: " + error);
    }
}
