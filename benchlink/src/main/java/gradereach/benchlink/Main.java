package gradereach.benchlink;

/** Entry point of the simulator adapter. Its class path has no server or command line classes, so that it starts fast. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 0) {
            System.err.println("usage: java -cp ... gradereach.benchlink.Main (simulator protocol on standard input and output)");
            System.exit(2);
        }
        System.exit(Benchlink.serve(System.in, System.out, System.err));
    }
}
