package gradereach.oip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import gradereach.message.InvalidMessageException;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Conversions between the gRPC and JSON forms of requests and responses. */
class InferenceJsonConverterTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static JsonNode requestWithTensor(String datatype, String shape, String data) throws Exception {
        return JSON.readTree("{\"parameters\":{\"b\":true,\"n\":-7,\"s\":\"x\",\"d\":0.5},\"inputs\":[{\"name\":\"x\",\"shape\":" + shape
                + ",\"datatype\":\"" + datatype + "\",\"parameters\":{\"k\":1},\"data\":" + data + "}],\"outputs\":[{\"name\":\"y\"}]}");
    }

    /** Every datatype, nested or flat, is converted to gRPC and back without loss, including the limits of its range. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "BOOL | [2] | [true,false]", "INT8 | [2] | [-128,127]", "INT16 | [1] | [-32768]", "INT32 | [2] | [-2147483648,2147483647]",
        "INT64 | [2] | [-9223372036854775808,9223372036854775807]", "UINT8 | [1] | [255]", "UINT16 | [1] | [65535]",
        "UINT32 | [2] | [0,4294967295]", "UINT64 | [1] | [18446744073709551615]", "FP32 | [3] | [0.1,-3.4028235E38,1.4E-45]",
        "FP64 | [2] | [0.1,1.7976931348623157E308]", "BYTES | [2] | [\"\",\"sch\u00fcr\"]", "FP32 | [2,0] | []",
    })
    void everyDatatypeRoundTrips(String datatype, String shape, String data) throws Exception {
        JsonNode original = requestWithTensor(datatype, shape, data);
        ModelInferRequest request = InferenceJsonConverter.requestFromJson(original, "m");
        JsonNode converted = JSON.readTree(InferenceJsonConverter.requestToJson(request));
        assertEquals(original.at("/inputs/0/data").toString(), converted.at("/inputs/0/data").toString());
        assertEquals(original.at("/inputs/0/shape"), converted.at("/inputs/0/shape"));
        assertEquals(original.path("parameters"), converted.path("parameters"));
        assertEquals(original.path("outputs"), converted.path("outputs"));
        // Responses of executors are converted in the same way.
        String output = original.toString().replace("\"outputs\"", "\"ignored\"").replace("\"inputs\"", "\"outputs\"");
        ModelInferResponse response = InferenceJsonConverter.responseFromJson(JSON.readTree(output), "m", "i");
        assertEquals(request.getInputs(0).getContents(), response.getOutputs(0).getContents());
        assertEquals(request.getParametersMap(), response.getParametersMap());
    }

    /** Raw contents of each datatype; the last column is the expected data, or a part of the expected error. */
    @ParameterizedTest
    @CsvSource({
        "INT8, 80ff, '[-128,-1]'", "UINT8, 80ff, '[128,255]'", "INT16, 0080, [-32768]", "UINT16, ffff, [65535]",
        "INT32, 00000080, [-2147483648]", "UINT32, ffffffff, [4294967295]", "INT64, ffffffffffffffff, [-1]",
        "UINT64, ffffffffffffffff, [18446744073709551615]", "FP32, 0000c03f, [1.5]", "FP64, 000000000000f83f, [1.5]",
        "BOOL, 0100, '[true,false]'", "BYTES, 0100000061000000000200000062c3, no UTF-8", "BYTES, 02000000616200000000, '[\"ab\",\"\"]'",
        "BYTES, 0500000061, ends within element 0", "BYTES, 01, ends before element 0", "FP32, 0000c07f, no finite number",
        "BYTES, 00000000ff, goes on after its last element", "FP16, 0000, inputs[0].datatype: not one that JSON can carry",
        "INT32, 000000, 3 bytes where shape and datatype say 4",
    })
    void rawContentsAreLittleEndian(String datatype, String hex, String expected) throws Exception {
        byte[] raw = HexFormat.of().parseHex(hex);
        JsonNode data = expected.startsWith("[") ? JSON.readTree(expected) : null;
        int count = data != null ? data.size() : expected.contains("UTF-8") ? 3 : 1;
        ModelInferRequest request = ModelInferRequest.newBuilder().setModelName("m").addInputs(
                ModelInferRequest.InferInputTensor.newBuilder().setName("x").setDatatype(datatype).addShape(count))
                .addRawInputContents(ByteString.copyFrom(raw)).build();
        if (data != null) {
            assertEquals(data, JSON.readTree(InferenceJsonConverter.requestToJson(request)).at("/inputs/0/data"));
        } else {
            String error = assertThrows(InvalidMessageException.class, () -> InferenceJsonConverter.requestToJson(request)).getMessage();
            assertTrue(error.contains(expected), error);
        }
    }

    @Test
    void aParameterWithoutAValueIsRejected() {
        ModelInferRequest request = ModelInferRequest.newBuilder().putParameters("p", InferParameter.getDefaultInstance()).build();
        assertEquals("parameters.p: no value",
                assertThrows(InvalidMessageException.class, () -> InferenceJsonConverter.requestToJson(request)).getMessage());
    }
}
