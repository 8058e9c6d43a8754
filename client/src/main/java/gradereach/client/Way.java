package gradereach.client;

import gradereach.webhook.WebhookKey;
import io.netty.channel.EventLoopGroup;
import java.util.function.Consumer;

/** One protocol's way to a front end: single tries, for those who script their repeats themselves. Any thread; nothing blocks. */
public interface Way extends AutoCloseable {
    /** A try under way. */
    interface Try {
        /** Nobody waits any more; the front end is told. */
        void giveUp();
    }

    /**
     * Sends one inference; {@code then} is told once.
     *
     * @param address host and port
     * @param left milliseconds until the deadline
     */
    Try send(String address, Inference inference, double left, Consumer<End> then);

    /**
     * The same for an answer in parts, told in order on the way's thread, which reads no further meanwhile.
     *
     * @param parts hears each {@code ModelInferResponse}
     */
    default Try stream(String address, Inference inference, double left, Consumer<Object> parts, Consumer<End> then) {
        throw new UnsupportedOperationException("no parts by this way");
    }

    /** By gRPC; addresses are those of gRPC listeners. */
    static Way grpc(WebhookKey key) {
        return new GrpcWay(key, GrpcWay::channel);
    }

    /** The same on threads of the caller's: ends and parts are told by the one that reads them, which must not be held up. */
    static Way grpc(WebhookKey key, EventLoopGroup loops) {
        return new GrpcWay(key, address -> GrpcWay.channel(address, loops));
    }

    @Override
    void close();
}
