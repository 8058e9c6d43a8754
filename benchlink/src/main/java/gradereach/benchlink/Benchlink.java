package gradereach.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Serves the bench's wire until its input ends. */
public final class Benchlink {
    private Benchlink() { }

    /** The exit code: 0 at the end of input between frames, 1 on bad input. */
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
