package gradereach.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks that a port stays reserved for its executor across restarts. */
class ReservedPortTest {
    private static final int RESTARTS = 300;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

    @AfterEach
    void shutDownLoops() {
        loops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }

    /** Guards against executors that cannot be restarted because the socket of their last listener is not closed yet. */
    @Test
    void canListenAgainOnceListenerClosed() throws Exception {
        try (ReservedPort port = new ReservedPort()) {
            for (int i = 0; i < RESTARTS; i++) {
                Channel listener = port.listen(loops.next(), new ChannelInboundHandlerAdapter());
                assertEquals(port.number(), ((InetSocketAddress) listener.localAddress()).getPort());
                listener.close().sync();
            }
        }
    }

    /** Guards against an outgoing connection that takes the port of an executor while the executor is down. */
    @Test
    void portIsReservedWhileNothingListens() throws Exception {
        try (ReservedPort port = new ReservedPort(); Socket other = new Socket()) {
            other.setReuseAddress(false);
            InetSocketAddress samePort = new InetSocketAddress("127.0.0.1", port.number());
            assertThrows(BindException.class, () -> other.bind(samePort));
        }
    }
}
