package gradereach.desk;

/**
 * What an executor is asked, in the forms that this deployment's executors take; one that none takes is null.
 *
 * @param json an inference request object of the Open Inference Protocol's HTTP/REST form
 * @param message the same as a serialized {@code ModelInferRequest}
 */
public record InferenceInput(byte[] json, byte[] protobuf) { }
