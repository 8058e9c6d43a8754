package gradereach.grpcfront;

import gradereach.protocol.inference.ModelInferRequest;
import io.grpc.MethodDescriptor;
import io.grpc.ServerMethodDefinition;
import io.grpc.ServerServiceDefinition;
import io.grpc.StatusRuntimeException;
import java.io.InputStream;

/**
 * Passes malformed request messages on to the method, which rejects them with a specific status. By default grpc-java ends such
 * a call with a status that reports a server error.
 */
final class LenientRequestParsing {
    /** Placeholder for a request that cannot be parsed; compared by identity. */
    static final ModelInferRequest MALFORMED_REQUEST = ModelInferRequest.newBuilder().setId("unreadable").build();

    private LenientRequestParsing() { }

    /** Returns the service with a lenient parser of requests in each method. */
    static ServerServiceDefinition wrap(ServerServiceDefinition service) {
        ServerServiceDefinition.Builder builder = ServerServiceDefinition.builder(service.getServiceDescriptor().getName());
        service.getMethods().forEach(method -> builder.addMethod(wrapMethod(method)));
        return builder.build();
    }

    private static <ReqT, RespT> ServerMethodDefinition<ReqT, RespT> wrapMethod(ServerMethodDefinition<ReqT, RespT> method) {
        MethodDescriptor<ReqT, RespT> descriptor = method.getMethodDescriptor();
        MethodDescriptor.Marshaller<ReqT> strict = descriptor.getRequestMarshaller();
        MethodDescriptor.Marshaller<ReqT> marshaller = new MethodDescriptor.Marshaller<>() {
            @Override
            public InputStream stream(ReqT value) {
                return strict.stream(value);
            }

            @Override
            @SuppressWarnings("unchecked")
            public ReqT parse(InputStream in) {
                try {
                    return strict.parse(in);
                } catch (StatusRuntimeException e) {
                    if (descriptor.getFullMethodName().equals(GrpcInferenceService.UNARY_METHOD)
                            || descriptor.getFullMethodName().equals(GrpcInferenceService.STREAMING_METHOD)) {
                        return (ReqT) MALFORMED_REQUEST;
                    }
                    throw e;
                }
            }
        };
        return ServerMethodDefinition.create(descriptor.toBuilder().setRequestMarshaller(marshaller).build(),
                method.getServerCallHandler());
    }
}
