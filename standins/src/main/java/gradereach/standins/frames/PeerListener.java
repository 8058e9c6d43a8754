package gradereach.standins.frames;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Listener of a scripted peer, with its open connections. It can stop and listen on the same port again. */
final class PeerListener {
    private final PeerEventLoops loops;
    private final Function<Channel, ChannelHandler> handlerFactory;
    private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
    private Channel listener;

    /**
     * Listens on any free port.
     *
     * @param handlerFactory creates the handler of a connection
     */
    PeerListener(PeerEventLoops loops, Function<Channel, ChannelHandler> handlerFactory) throws InterruptedException {
        this.loops = loops;
        this.handlerFactory = handlerFactory;
        listener = loops.listen(connectionInitializer());
    }

    /** Listens on a port that another listener has just closed. */
    PeerListener(PeerEventLoops loops, int port, Function<Channel, ChannelHandler> handlerFactory) throws InterruptedException {
        this.loops = loops;
        this.handlerFactory = handlerFactory;
        listener = loops.listenWithRetry(port, connectionInitializer());
    }

    private ChannelHandler connectionInitializer() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel connection) {
                connections.add(connection);
                connection.closeFuture().addListener(closed -> connections.remove(connection));
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

    /** The open connections. */
    Set<Channel> connections() {
        return connections;
    }

    /** Closes the listener, so that new connections are refused; open connections stay open. */
    void stop() throws InterruptedException {
        listener.close().sync();
    }

    void restart() throws InterruptedException {
        listener = loops.listen(port(), connectionInitializer());
    }
}
