package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradereach.api.ExecutorState;
import gradereach.api.RosterUpdateKind;
import gradereach.counts.Counts;
import gradereach.flow.AnswerStream;
import gradereach.http2.Http2ConnectionPool;
import gradereach.link.HttpExecutorTransport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A request that waits for a blocked I/O thread is written only if it may still be sent by then. */
@Timeout(30)
class SendLeaseTest {
    /** Milliseconds, as all times here. */
    private static final double ROSTER_VALIDITY = 200;
    private static final double NO_LIMIT = 1e9;
    /** The drain grace of rule 3 in the harness, and the router's safety margin for transmission. */
    private static final double GRACE = 500;
    private static final double MARGIN = 25;

    private final CoordinatorHarness harness = new CoordinatorHarness(1, 100, 100, router -> router);
    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup peer = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Consumer<InferenceCoordinator>> events = new LinkedBlockingQueue<>();
    private final AtomicInteger requestsReceived = new AtomicInteger();
    private volatile double time;
    private HttpExecutorTransport transport;
    private String address;

    @BeforeEach
    void start() throws InterruptedException {
        InetSocketAddress socketAddress = (InetSocketAddress) new ServerBootstrap().group(peer).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        connection.pipeline().addLast(Http2FrameCodecBuilder.forServer().build(),
                                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel stream) {
                                        stream.pipeline().addLast(new OkResponder());
                                    }
                                }));
                    }
                }).bind("127.0.0.1", 0).sync().channel().localAddress();
        address = "127.0.0.1:" + socketAddress.getPort();
        Http2ConnectionPool.Limits limits = new Http2ConnectionPool.Limits(1, 10, 5000, NO_LIMIT, 1000, 1 << 16);
        transport = new HttpExecutorTransport("fe", Set.of(), loop, NioSocketChannel.class, limits, limits,
                new AnswerStream.Limits(1000, 100, 1000, harness.counts), new Counts(), () -> time, events::add);
    }

    @AfterEach
    void end() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        peer.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private final class OkResponder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            if (frame instanceof Http2HeadersFrame) {
                requestsReceived.incrementAndGet();
                ctx.writeAndFlush(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status("200"), true));
            }
            ReferenceCountUtil.release(frame);
        }
    }

    /** Lists the executor as ready; returns when its lease ends. */
    private double listAsReady(double validity) {
        harness.updateRoster(RosterUpdateKind.FULL, new RosterEntry(address, address, 1, 0, ExecutorState.READY, 0, 0, 0));
        double until = harness.now + validity;
        harness.runBatch(harness.now, () -> harness.coordinator.onRosterConfirmed(harness.now, until));
        return until + GRACE - MARGIN;
    }

    /** Hands a request to the transport while its thread is blocked, and unblocks the thread at the given time. */
    private void writeAt(double writeTime, Runnable handOver) throws InterruptedException {
        CountDownLatch unblock = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                unblock.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        time = harness.now;
        handOver.run();
        time = writeTime;
        unblock.countDown();
        Consumer<InferenceCoordinator> end = events.take();
        harness.runBatch(time, () -> end.accept(harness.coordinator));
    }

    /** Guards against a forward that is written after its executor's lease (rule 3) or its own deadline. */
    @ParameterizedTest
    @CsvSource({"lease, -1, 1", "lease, 1, 0", "deadline, -1, 1", "deadline, 1, 0"})
    void forwardIsWrittenOnlyWithinItsLeaseAndDeadline(String limit, double offset, int expectedRequests) throws Exception {
        double leaseEnds = listAsReady(limit.equals("lease") ? ROSTER_VALIDITY : NO_LIMIT);
        harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        InFlightForward forward = harness.awaitForward();
        double ends = limit.equals("lease") ? leaseEnds : forward.deadline();
        assertEquals(Math.min(leaseEnds, forward.deadline()), ends);
        writeAt(ends + offset, () -> transport.forward(forward));
        assertEquals(expectedRequests, requestsReceived.get());
    }

    /** The same for a load order; a status query may be sent at any time. */
    @ParameterizedTest
    @CsvSource({"order, -1, 1", "order, 1, 0", "status query, 1, 1"})
    void loadOrderIsWrittenOnlyWithinItsLease(String kind, double offset, int expectedRequests) throws Exception {
        double leaseEnds = listAsReady(ROSTER_VALIDITY);
        harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        while (kind.equals("order") && harness.orders.stream().noneMatch(order -> order.copies > 0)) {
            harness.answerLoadOrders(0);
            harness.advanceTo(harness.now + 5);
        }
        LoadOrder order = harness.orders.stream().filter(candidate -> candidate.copies > 0 == kind.equals("order")).findFirst()
                .orElseThrow();
        writeAt(leaseEnds + offset, () -> transport.sendLoadOrder(order));
        assertEquals(expectedRequests, requestsReceived.get());
    }

    /** Guards against a forward for a warm process that is written to the cold process that replaced it (rule 4). */
    @Test
    void forwardIsNotWrittenToAReplacedProcess() throws Exception {
        listAsReady(NO_LIMIT);
        harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        InFlightForward forward = harness.awaitForward();
        writeAt(harness.now + 1, () -> {
            transport.forward(forward);
            harness.updateRoster(RosterUpdateKind.CHANGES, new RosterEntry(address, address, 1, harness.now, ExecutorState.READY, 0, 0, 0));
        });
        assertEquals(0, requestsReceived.get());
    }
}
