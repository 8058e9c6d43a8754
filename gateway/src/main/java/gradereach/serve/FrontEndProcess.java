package gradereach.serve;

import gradereach.plan.InvalidDeploymentException;
import gradereach.plan.Deployment;
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

    public static void main(String[] args) throws InterruptedException {
        System.exit(run(Path.of(args[0]), FaultInjection.NONE, System.out, System.err));
    }

    private static String hostAndPort(InetSocketAddress at) {
        return at.getHostString() + ":" + at.getPort();
    }

    /** Returns the exit code: 0 after a graceful shutdown, 1 on runtime errors, 2 on an invalid deployment file. */
    public static int run(Path file, FaultInjection between, PrintStream out, PrintStream err)
            throws InterruptedException {
        Deployment plan;
        try {
            plan = Deployment.read(file);
        } catch (InvalidDeploymentException e) {
            e.errors().forEach(err::println);
            return 2;
        }
        Gateway gateway = new Gateway(plan, between);
        CountDownLatch stop = new CountDownLatch(1);
        Runnable asked = () -> {
            if (stop.getCount() == 0) {
                // A second signal forces an immediate exit.
                Runtime.getRuntime().halt(1);
            }
            stop.countDown();
        };
        Signals.register("TERM", asked);
        Signals.register("INT", asked);
        try {
            InetSocketAddress at = gateway.start();
            out.println("listening " + hostAndPort(at) + (gateway.adminAddress() == null ? "" : " admin " + hostAndPort(gateway.adminAddress()))
                    + (gateway.grpcAddress() == null ? "" : " grpc " + hostAndPort(gateway.grpcAddress())));
            out.flush();
        } catch (BindException e) {
            err.println(file + ": /listen or /admin: " + e.getMessage());
            gateway.close();
            return 1;
        } catch (IOException e) {
            err.println("front end cannot start: " + e.getMessage());
            gateway.close();
            return 1;
        }
        stop.await();
        return gateway.stop() ? 0 : 1;
    }
}
