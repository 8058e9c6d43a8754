package gradereach.client;

import gradereach.counts.Counts;
import gradereach.front.WebhookFront;
import gradereach.grpcfront.GrpcFront;
import gradereach.intake.Intake;
import gradereach.plan.Deployment;
import gradereach.webhook.KeyRing;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** The listeners of a front end that takes nothing new and still accepts connections, as in the first instant of a stop. */
final class StoppingFrontEnd implements AutoCloseable {
    private static final double PAUSE = 2000;
    private static final int SIZE = 1 << 16;
    private static final int MANY = 1000;
    private static final long MINUTE = 60_000;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Counts counts = new Counts();
    private final WebhookFront webhooks;
    private final GrpcFront grpc;
    private final InetSocketAddress webhooksAt;
    private final InetSocketAddress grpcAt;

    StoppingFrontEnd(Deployment plan) throws IOException, InterruptedException {
        Intake intake = new Intake(new KeyRing(plan.keys()), plan.answerKeys(), plan.catalogue(), null, StoppingFrontEnd::now,
                StoppingFrontEnd::now, System::currentTimeMillis, PAUSE, new Intake.Forms(true, true), counts);
        webhooks = new WebhookFront(intake, null, new WebhookFront.Bounds(MANY, SIZE, SIZE, MINUTE, MINUTE, MANY), counts);
        grpc = new GrpcFront(intake, new GrpcFront.Bounds(MANY, MANY, SIZE, SIZE, SIZE, MINUTE, MINUTE, MINUTE, MINUTE),
                () -> true, counts);
        InetSocketAddress anywhere = new InetSocketAddress("127.0.0.1", 0);
        webhooksAt = webhooks.listen(anywhere, loops, loops, NioServerSocketChannel.class);
        grpcAt = grpc.listen(anywhere, loops, loops, NioServerSocketChannel.class);
        intake.stop();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    String address(String way) {
        return "127.0.0.1:" + (way.equals("grpc") ? grpcAt : webhooksAt).getPort();
    }

    /** Inferences that it has read; it sheds each. */
    long shed() {
        return counts.value("messages");
    }

    @Override
    public void close() {
        webhooks.close();
        grpc.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
