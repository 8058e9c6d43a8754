package gradereach.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reads unread bytes from a socket whose read calls return fewer bytes than are available. */
@Timeout(60)
class UnreadBytesTest {
    private static final int BYTES = 20;

    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CompletableFuture<Channel> accepted = new CompletableFuture<>();
    private int received;

    @AfterEach
    void shutDown() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A listener whose connections read one byte at a time; read(2) may always return fewer bytes than are available. */
    public static final class ShortReadServerChannel extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> connections) throws Exception {
            SocketChannel socketChannel = javaChannel().accept();
            if (socketChannel != null) {
                connections.add(new NioSocketChannel(this, socketChannel) {
                    @Override
                    protected int doReadBytes(ByteBuf bytes) throws Exception {
                        unsafe().recvBufAllocHandle().attemptedBytesRead(bytes.writableBytes());
                        return bytes.writeBytes(javaChannel(), 1);
                    }
                });
                return 1;
            }
            return 0;
        }
    }

    /** Guards against closing a connection while a short read has left bytes in the socket. */
    @Test
    void readsAllBytesDespiteShortReads() throws Exception {
        InetSocketAddress address = (InetSocketAddress) new ServerBootstrap().group(loop).channel(ShortReadServerChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
                                received += bytes.readableBytes();
                            }
                        });
                        accepted.complete(channel);
                    }
                }).bind("127.0.0.1", 0).sync().channel().localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            Channel channel = accepted.get();
            assertEquals(BYTES, loop.next().submit(() -> {
                socket.getOutputStream().write(new byte[BYTES]);
                UnreadBytes.read(channel);
                return received;
            }).get());
        }
    }
}
