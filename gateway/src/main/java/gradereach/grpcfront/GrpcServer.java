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
 * Listens for the Open Inference Protocol's gRPC service, on grpc-java over the front end's own threads, with the library's
 * health and reflection services. What it reads goes the same way as the webhook front's: one {@link Intake}.
 */
public final class GrpcServer implements AutoCloseable {
    /**
     * Bounds of the listener; times in milliseconds, sizes in bytes.
     *
     * @param calls calls open at once, over all connections
     * @param callsOfOne calls open at once on one connection
     * @param streamBytes answers that wait for slow readers, over all streams
     * @param stalledMillis after which a reader that takes nothing is cut
     * @param ageMillis after which a connection is ended in good order, so that clients spread anew
     */
    public record Limits(int maxCalls, int maxCallsPerConnection, int maxMetadataBytes, int maxMessageBytes, long maxQueuedBytes, long stalledReaderTimeoutMillis,
            long idleTimeoutMillis, long maxConnectionAgeMillis, long connectionAgeGraceMillis) { }

    /** Clients may ping this often; more is an attack or an error (gRFC A8 advises five minutes without calls). */
    private static final long MIN_PING_INTERVAL_SECONDS = 10;
    /** Resets of its own streams that a client may send in ten seconds (CVE-2023-44487); as the webhook front. */
    private static final int MAX_RESETS_PER_WINDOW = 400;
    private static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 18; // of a stream, as the webhook front: a message of usual size in one go

    private final Intake intake;
    private final Limits limits;
    private final Counts counts;
    private final BooleanSupplier ready;
    private final HealthStatusManager health = new HealthStatusManager();
    private GrpcInferenceService service;
    private Server server;

    public GrpcServer(Intake intake, Limits bounds, BooleanSupplier ready, Counts counts) {
        this.intake = intake;
        this.limits = bounds;
        this.ready = ready;
        this.counts = counts;
    }

    /** Returns the address bound, with the port that was chosen for 0. */
    public InetSocketAddress listen(InetSocketAddress at, EventLoopGroup boss, EventLoopGroup workers,
            Class<? extends ServerChannel> type) throws IOException {
        service = new GrpcInferenceService(intake, workers, ready, limits, counts);
        server = NettyServerBuilder.forAddress(at).bossEventLoopGroup(boss).workerEventLoopGroup(workers).channelType(type)
                .directExecutor() // nothing in a call waits
                .maxConcurrentCallsPerConnection(limits.maxCallsPerConnection).maxInboundMetadataSize(limits.maxMetadataBytes)
                .maxInboundMessageSize(limits.maxMessageBytes).flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                .maxRstFramesPerWindow(MAX_RESETS_PER_WINDOW, 10)
                .permitKeepAliveTime(MIN_PING_INTERVAL_SECONDS, TimeUnit.SECONDS).permitKeepAliveWithoutCalls(true)
                .maxConnectionIdle(limits.idleTimeoutMillis, TimeUnit.MILLISECONDS)
                .maxConnectionAge(limits.maxConnectionAgeMillis, TimeUnit.MILLISECONDS)
                .maxConnectionAgeGrace(limits.connectionAgeGraceMillis, TimeUnit.MILLISECONDS)
                .addTransportFilter(GrpcConnection.transportFilter(counts.counter("grpc_connections")))
                .addStreamTracerFactory(GrpcConnection.RESET_TRACER_FACTORY).intercept(GrpcConnection.CONTEXT_INTERCEPTOR)
                .addService(LenientRequestParsing.wrap(service.bindService())).addService(health.getHealthService()).addService(ProtoReflectionServiceV1.newInstance())
                .build().start();
        health.setStatus(GRPCInferenceServiceGrpc.SERVICE_NAME, ServingStatus.SERVING);
        return (InetSocketAddress) server.getListenSockets().get(0);
    }

    /** Clients hear GOAWAY and "not serving"; what was taken is answered. {@link Intake} has been stopped before. */
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
