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

/** A front end as a process: reads its deployment file, serves until SIGTERM, then answers what it holds and ends. */
public final class FrontEndProcess {
    private FrontEndProcess() { }

    public static void main(String[] args) throws InterruptedException {
        System.exit(run(Path.of(args[0]), FaultInjection.NONE, System.out, System.err));
    }

    private static String hostAndPort(InetSocketAddress at) {
        return at.getHostString() + ":" + at.getPort();
    }

    /** The exit code: 0 after an orderly stop, 1 on run errors, 2 on a bad deployment file. */
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
                // Asked twice: whoever asks does not want to wait.
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
