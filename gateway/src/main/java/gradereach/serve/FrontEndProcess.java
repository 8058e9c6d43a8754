package gradereach.serve;

import gradereach.plan.Deployment;
import gradereach.plan.InvalidDeploymentException;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.jline.utils.Signals;

/** Runs a front end as a process: reads the deployment file, serves until SIGTERM, then drains and exits. */
public final class FrontEndProcess {
    private FrontEndProcess() { }

    /** @param args the path of the deployment file */
    public static void main(String[] args) throws InterruptedException {
        System.exit(run(Path.of(args[0]), FaultInjection.NONE, System.out, System.err));
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Runs a front end and returns the exit code: 0 after a graceful shutdown, 1 on runtime errors and when inferences were left
     * unanswered, 2 on an invalid deployment file.
     */
    public static int run(Path file, FaultInjection faults, PrintStream out, PrintStream err)
            throws InterruptedException {
        Deployment deployment;
        try {
            deployment = Deployment.read(file);
        } catch (InvalidDeploymentException e) {
            e.errors().forEach(err::println);
            return 2;
        }
        Gateway gateway = new Gateway(deployment, faults);
        CountDownLatch stopRequested = new CountDownLatch(1);
        Runnable onSignal = () -> {
            if (stopRequested.getCount() == 0) {
                // A second signal forces an immediate exit.
                Runtime.getRuntime().halt(1);
            }
            stopRequested.countDown();
        };
        Signals.register("TERM", onSignal);
        Signals.register("INT", onSignal);
        try {
            InetSocketAddress address = gateway.start();
            out.println("listening " + hostAndPort(address)
                    + (gateway.adminAddress() == null ? "" : " admin " + hostAndPort(gateway.adminAddress()))
                    + (gateway.grpcAddress() == null ? "" : " grpc " + hostAndPort(gateway.grpcAddress())));
            out.flush();
        } catch (BindException e) {
            err.println(file + ": cannot bind /listen, /grpc/listen, /peers/listen or /admin: " + e.getMessage());
            gateway.close();
            return 1;
        } catch (IOException e) {
            err.println("front end cannot start: " + e.getMessage());
            gateway.close();
            return 1;
        }
        stopRequested.await();
        return gateway.stop() ? 0 : 1;
    }
}
