package gradereach.grpcfront;

import io.grpc.Attributes;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.ServerStreamTracer;
import io.grpc.ServerTransportFilter;
import io.grpc.Status;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** State of one client connection: the customer of its last message and the number of bad signatures received on it. */
final class GrpcConnection {
    private static final Attributes.Key<GrpcConnection> CONNECTION_ATTRIBUTE = Attributes.Key.create("caller");
    static final Context.Key<GrpcConnection> CURRENT_CONNECTION = Context.key("caller");
    /**
     * Resets the stream of the call, for a client that has stopped reading: a status would be queued behind the messages that
     * the client does not read. grpc-java resets a stream only if the deadline of its call has passed, so the context is
     * cancelled with a {@link TimeoutException}.
     */
    static final Context.Key<Runnable> RESET_STREAM = Context.key("reset");
    static final Context.Key<Metadata> HEADERS = Context.key("headers");
    /** Same limit as on the webhook server. Each bad signature costs a check with every key, so only a few are tolerated. */
    private static final int MAX_BAD_SIGNATURES = 16;

    private final AtomicInteger likelyCustomer = new AtomicInteger(-1);
    private final AtomicInteger badSignatures = new AtomicInteger();

    /** Returns the customer whose key verified the last message, -1 before the first one. */
    int likelyCustomer() {
        return likelyCustomer.get();
    }

    void setLikelyCustomer(int customer) {
        likelyCustomer.lazySet(customer);
    }

    void recordBadSignature() {
        badSignatures.incrementAndGet();
    }

    /** Returns whether signatures on this connection are no longer checked, after too many bad ones. */
    boolean hasTooManyBadSignatures() {
        return badSignatures.get() >= MAX_BAD_SIGNATURES;
    }

    /** Returns a filter that attaches a {@link GrpcConnection} to each transport and counts the open ones. */
    static ServerTransportFilter transportFilter(LongAdder openConnections) {
        return new ServerTransportFilter() {
            @Override
            public Attributes transportReady(Attributes attributes) {
                openConnections.increment();
                return attributes.toBuilder().set(CONNECTION_ATTRIBUTE, new GrpcConnection()).build();
            }

            @Override
            public void transportTerminated(Attributes attributes) {
                openConnections.decrement();
            }
        };
    }

    /** Puts {@link #RESET_STREAM} into the context of each call. */
    static final ServerStreamTracer.Factory RESET_TRACER_FACTORY = new ServerStreamTracer.Factory() {
        @Override
        public ServerStreamTracer newServerStreamTracer(String method, Metadata headers) {
            return new ServerStreamTracer() {
                private Context.CancellableContext callContext;

                @Override
                public Context filterContext(Context context) {
                    callContext = context.withCancellation();
                    Runnable reset = () -> callContext.cancel(new TimeoutException());
                    return callContext.withValue(RESET_STREAM, reset);
                }

                @Override
                public void streamClosed(Status status) {
                    if (callContext != null) {
                        callContext.cancel(null);
                    }
                }
            };
        }
    };

    /** Puts the headers and the connection into the context of each call. */
    static final ServerInterceptor CONTEXT_INTERCEPTOR = new ServerInterceptor() {
        @Override
        public <ReqT, RespT> ServerCall.Listener<ReqT> interceptCall(ServerCall<ReqT, RespT> call, Metadata headers,
                ServerCallHandler<ReqT, RespT> next) {
            Context context = Context.current().withValue(HEADERS, headers)
                    .withValue(CURRENT_CONNECTION, call.getAttributes().get(CONNECTION_ATTRIBUTE));
            return Contexts.interceptCall(context, call, headers, next);
        }
    };
}
