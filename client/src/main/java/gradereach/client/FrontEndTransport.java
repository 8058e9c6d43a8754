package gradereach.client;

import gradereach.webhook.WebhookKey;
import io.netty.channel.EventLoopGroup;
import java.util.function.Consumer;

/** One protocol's way to a front end: single tries, for those who script their repeats themselves. Any thread; nothing blocks. */
public interface FrontEndTransport extends AutoCloseable {
    /** A try under way. */
    interface Attempt {
        /** Nobody waits any more; the front end is told. */
        void cancel();
    }

    /**
     * Sends one inference; {@code then} is told once.
     *
     * @param address host and port
     * @param left milliseconds until the deadline
     */
    Attempt send(String address, Inference inference, double left, Consumer<AttemptOutcome> then);

    /**
     * The same for an answer in parts, told in order on the way's thread, which reads no further meanwhile.
     *
     * @param parts hears each {@code ModelInferResponse}
     */
    default Attempt stream(String address, Inference inference, double left, Consumer<Object> parts, Consumer<AttemptOutcome> then) {
        throw new UnsupportedOperationException("no parts by this way");
    }

    /** By gRPC; addresses are those of gRPC listeners. */
    static FrontEndTransport grpc(WebhookKey key) {
        return new GrpcTransport(key, GrpcTransport::channel);
    }

    /** The same on threads of the caller's: ends and parts are told by the one that reads them, which must not be held up. */
    static FrontEndTransport grpc(WebhookKey key, EventLoopGroup loops) {
        return new GrpcTransport(key, address -> GrpcTransport.channel(address, loops));
    }

    @Override
    void close();
}
