package gradereach.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Serves the simulator protocol: a simulator sends events as frames, and gets the actions of the policy as replies. */
public final class Benchlink {
    private Benchlink() { }

    /**
     * Serves until the input ends, and writes why it stopped early to {@code err}.
     *
     * @return the exit code: 0 if the input ended between frames, 1 if it was invalid or reading or writing failed
     */
    public static int serve(InputStream in, OutputStream out, PrintStream err) {
        try {
            new InstanceHost().run(new FrameReader(in), out);
            return 0;
        } catch (IOException e) {
            err.println("benchlink: " + e.getMessage());
            return 1;
        }
    }
}
