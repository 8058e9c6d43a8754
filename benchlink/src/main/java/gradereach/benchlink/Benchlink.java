package gradereach.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Serves the simulator protocol until the input ends. */
public final class Benchlink {
    private Benchlink() { }

    /** Returns the exit code: 0 if the input ended between frames, 1 on invalid input. */
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
