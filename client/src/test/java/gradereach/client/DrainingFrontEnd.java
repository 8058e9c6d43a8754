package gradereach.client;

import gradereach.counts.Counts;
import gradereach.front.WebhookServer;
import gradereach.grpcfront.GrpcServer;
import gradereach.intake.Intake;
import gradereach.plan.Deployment;
import gradereach.webhook.KeyRing;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** The listeners of a draining front end: it sheds every inference but still accepts connections, as at the start of a stop. */
final class DrainingFrontEnd implements AutoCloseable {
    private static final double RETRY_AFTER_MILLIS = 2000;
    private static final int MAX_BYTES = 1 << 16;
    private static final int MAX_COUNT = 1000;
    private static final long MINUTE_MILLIS = 60_000;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Counts counts = new Counts();
    private final WebhookServer webhooks;
    private final GrpcServer grpc;
    private final InetSocketAddress webhookAddress;
    private final InetSocketAddress grpcAddress;

    DrainingFrontEnd(Deployment deployment) throws IOException, InterruptedException {
        Intake intake = new Intake(new KeyRing(deployment.customerKeys()), deployment.answerKeys(), deployment.modelCatalog(), null,
                DrainingFrontEnd::now, DrainingFrontEnd::now, System::currentTimeMillis, RETRY_AFTER_MILLIS,
                new Intake.InputFormats(true, true), counts);
        webhooks = new WebhookServer(intake, null,
                new WebhookServer.Limits(MAX_COUNT, MAX_BYTES, MAX_BYTES, MINUTE_MILLIS, MINUTE_MILLIS, MAX_COUNT), counts);
        grpc = new GrpcServer(intake, new GrpcServer.Limits(MAX_COUNT, MAX_COUNT, MAX_BYTES, MAX_BYTES, MAX_BYTES, MINUTE_MILLIS,
                MINUTE_MILLIS, MINUTE_MILLIS, MINUTE_MILLIS), () -> true, counts);
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        webhookAddress = webhooks.listen(anyPort, loops, loops, NioServerSocketChannel.class);
        grpcAddress = grpc.listen(anyPort, loops, loops, NioServerSocketChannel.class);
        intake.stop();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    String address(String transport) {
        return "127.0.0.1:" + (transport.equals("grpc") ? grpcAddress : webhookAddress).getPort();
    }

    /** Inferences received so far, each of which was shed. */
    long shedCount() {
        return counts.value("messages");
    }

    @Override
    public void close() {
        webhooks.close();
        grpc.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
