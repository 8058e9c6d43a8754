package gradereach.standins.frames;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Where a scripted peer is reached, and the connections that are open there. It may stop, and listen again at the same port. */
final class PeerListener {
    private final PeerEventLoops loops;
    private final Function<Channel, ChannelHandler> handlerFactory;
    private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
    private Channel listener;

    /**
     * Listens on a port of its own.
     *
     * @param sessions makes the handler of a connection
     */
    PeerListener(PeerEventLoops loops, Function<Channel, ChannelHandler> sessions) throws InterruptedException {
        this.loops = loops;
        this.handlerFactory = sessions;
        listener = loops.listen(connectionInitializer());
    }

    /** Listens on a port that another has just left. */
    PeerListener(PeerEventLoops loops, int port, Function<Channel, ChannelHandler> sessions) throws InterruptedException {
        this.loops = loops;
        this.handlerFactory = sessions;
        listener = loops.listenWithRetry(port, connectionInitializer());
    }

    private ChannelHandler connectionInitializer() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel connection) {
                connections.add(connection);
                connection.closeFuture().addListener(end -> connections.remove(connection));
                connection.pipeline().addLast(handlerFactory.apply(connection));
            }
        };
    }

    String address() {
        return PeerEventLoops.address(listener);
    }

    int port() {
        return PeerEventLoops.port(listener);
    }

    /** Those that are open now. */
    Set<Channel> connections() {
        return connections;
    }

    /** New connections are refused. */
    void stop() throws InterruptedException {
        listener.close().sync();
    }

    void restart() throws InterruptedException {
        listener = loops.listen(port(), connectionInitializer());
    }
}
