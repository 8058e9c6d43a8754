package gradereach.client;

import gradereach.webhook.WebhookKey;
import io.netty.channel.EventLoopGroup;
import java.util.function.Consumer;

/**
 * Sends single attempts to a front end over one protocol, for callers that retry on their own. Methods may be called from any
 * thread and do not block.
 */
public interface FrontEndTransport extends AutoCloseable {
    /** An attempt in progress. */
    interface Attempt {
        /** Cancels the request; the front end sees the cancellation. */
        void cancel();
    }

    /**
     * Sends one inference; {@code onOutcome} is called once.
     *
     * @param address host and port
     * @param remainingMillis milliseconds until the deadline
     */
    Attempt send(String address, Inference inference, double remainingMillis, Consumer<AttemptOutcome> onOutcome);

    /**
     * Sends one inference whose answer is streamed. Parts are delivered in order on the transport's thread; the next part is read
     * after {@code parts} returns.
     *
     * @param parts receives each {@code ModelInferResponse}
     */
    default Attempt stream(String address, Inference inference, double remainingMillis, Consumer<Object> parts,
            Consumer<AttemptOutcome> onOutcome) {
        throw new UnsupportedOperationException("this transport does not support streamed answers");
    }

    /** Creates a gRPC transport; addresses are those of gRPC listeners. */
    static FrontEndTransport grpc(WebhookKey key) {
        return new GrpcTransport(key, GrpcTransport::channel);
    }

    /** Creates a gRPC transport on the caller's event loops, which also run the callbacks: these must not block. */
    static FrontEndTransport grpc(WebhookKey key, EventLoopGroup loops) {
        return new GrpcTransport(key, address -> GrpcTransport.channel(address, loops));
    }

    @Override
    void close();
}
