package gradereach.grpcfront;

import gradereach.counts.Counts;
import gradereach.intake.Intake;
import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import io.grpc.Server;
import io.grpc.health.v1.HealthCheckResponse.ServingStatus;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.protobuf.services.HealthStatusManager;
import io.grpc.protobuf.services.ProtoReflectionServiceV1;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Serves the gRPC service of the Open Inference Protocol with grpc-java on the front end's event loops, together with the
 * library's health and reflection services. Inferences enter through the same {@link Intake} as those of the webhook server.
 */
public final class GrpcServer implements AutoCloseable {
    /**
     * Limits of the listener.
     *
     * @param maxCalls open calls on all connections
     * @param maxCallsPerConnection open calls on one connection
     * @param maxQueuedBytes bytes of answers queued for slow readers, over all streams
     * @param stalledReaderTimeoutMillis time after which a stream is reset if its client reads nothing
     * @param maxConnectionAgeMillis time after which a connection is closed gracefully, so that its client connects anew and a
     *        load balancer may choose another front end
     * @param connectionAgeGraceMillis time that open calls of such a connection have to end
     */
    public record Limits(int maxCalls, int maxCallsPerConnection, int maxMetadataBytes, int maxMessageBytes, long maxQueuedBytes,
            long stalledReaderTimeoutMillis, long idleTimeoutMillis, long maxConnectionAgeMillis, long connectionAgeGraceMillis) { }

    /** Clients that ping more often are attackers or faulty (gRFC A8 recommends five minutes without calls). */
    private static final long MIN_PING_INTERVAL_SECONDS = 10;
    /** Stream resets that a client may send in {@link #RESET_WINDOW_SECONDS} (CVE-2023-44487); as on the webhook server. */
    private static final int MAX_RESETS_PER_WINDOW = 400;
    private static final int RESET_WINDOW_SECONDS = 10;
    /** Window of one stream, as on the webhook server: a message of usual size fits without a window update. */
    private static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 18;

    private final Intake intake;
    private final Limits limits;
    private final Counts counts;
    private final BooleanSupplier ready;
    private final HealthStatusManager health = new HealthStatusManager();
    private GrpcInferenceService service;
    private Server server;

    /**
     * Creates a server; {@link #listen} starts it.
     *
     * @param ready whether the front end accepts inferences
     */
    public GrpcServer(Intake intake, Limits limits, BooleanSupplier ready, Counts counts) {
        this.intake = intake;
        this.limits = limits;
        this.ready = ready;
        this.counts = counts;
    }

    /** Starts to listen and returns the bound address, with the actual port where port 0 was requested. */
    public InetSocketAddress listen(InetSocketAddress address, EventLoopGroup boss, EventLoopGroup workers,
            Class<? extends ServerChannel> channelType) throws IOException {
        service = new GrpcInferenceService(intake, workers, ready, limits, counts);
        server = NettyServerBuilder.forAddress(address).bossEventLoopGroup(boss).workerEventLoopGroup(workers).channelType(channelType)
                .directExecutor() // no call blocks its thread
                .maxConcurrentCallsPerConnection(limits.maxCallsPerConnection).maxInboundMetadataSize(limits.maxMetadataBytes)
                .maxInboundMessageSize(limits.maxMessageBytes).flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                .maxRstFramesPerWindow(MAX_RESETS_PER_WINDOW, RESET_WINDOW_SECONDS)
                .permitKeepAliveTime(MIN_PING_INTERVAL_SECONDS, TimeUnit.SECONDS).permitKeepAliveWithoutCalls(true)
                .maxConnectionIdle(limits.idleTimeoutMillis, TimeUnit.MILLISECONDS)
                .maxConnectionAge(limits.maxConnectionAgeMillis, TimeUnit.MILLISECONDS)
                .maxConnectionAgeGrace(limits.connectionAgeGraceMillis, TimeUnit.MILLISECONDS)
                .addTransportFilter(GrpcConnection.transportFilter(counts.counter("grpc_connections")))
                .addStreamTracerFactory(GrpcConnection.RESET_TRACER_FACTORY).intercept(GrpcConnection.CONTEXT_INTERCEPTOR)
                .addService(LenientRequestParsing.wrap(service.bindService())).addService(health.getHealthService())
                .addService(ProtoReflectionServiceV1.newInstance()).build().start();
        health.setStatus(GRPCInferenceServiceGrpc.SERVICE_NAME, ServingStatus.SERVING);
        return (InetSocketAddress) server.getListenSockets().get(0);
    }

    /**
     * Stops accepting connections and calls: clients receive GOAWAY and the health status NOT_SERVING. Accepted inferences are
     * still answered. {@link Intake} must have been stopped before.
     */
    public void stopAccepting() {
        health.enterTerminalState();
        server.shutdown();
        service.drainStreams();
    }

    @Override
    public void close() {
        if (server == null) {
            return;
        }
        server.shutdownNow();
        try {
            server.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
