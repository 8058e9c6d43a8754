package gradereach.oip;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import gradereach.protocol.inference.InferTensorContents;
import java.io.IOException;

/** Reads the data of a JSON tensor into the contents of a gRPC tensor. */
final class TensorReader {
    private TensorReader() { }

    /**
     * Adds data, which may be nested by the tensor's shape or flat ("Tensor Data").
     *
     * @throws IOException if the datatype is unknown
     */
    static void addData(InferTensorContents.Builder contents, String datatype, JsonNode data) throws IOException {
        if (data.isArray()) {
            for (JsonNode element : data) {
                addData(contents, datatype, element);
            }
            return;
        }
        switch (datatype) {
            case "BOOL" -> contents.addBoolContents(data.asBoolean());
            case "INT8", "INT16", "INT32" -> contents.addIntContents(data.asInt());
            case "INT64" -> contents.addInt64Contents(data.asLong());
            case "UINT8", "UINT16", "UINT32" -> contents.addUintContents((int) data.asLong());
            case "UINT64" -> contents.addUint64Contents(data.bigIntegerValue().longValue());
            case "FP16", "BF16", "FP32" -> contents.addFp32Contents((float) data.asDouble());
            case "FP64" -> contents.addFp64Contents(data.asDouble());
            case "BYTES" -> contents.addBytesContents(ByteString.copyFromUtf8(data.asText()));
            default -> throw new IOException("datatype " + datatype);
        }
    }
}
