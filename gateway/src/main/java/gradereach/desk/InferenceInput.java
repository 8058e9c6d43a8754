package gradereach.desk;

/**
 * The input of an inference in the encodings that this deployment's executors accept; an encoding that none accepts is null.
 *
 * @param json an inference request object of the Open Inference Protocol's HTTP/REST form
 * @param protobuf the same as a serialized {@code ModelInferRequest}
 */
public record InferenceInput(byte[] json, byte[] protobuf) { }
