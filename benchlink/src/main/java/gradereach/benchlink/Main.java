package gradereach.benchlink;

/** Entry point of the simulator adapter. Its class path has no server or command line classes, so it starts fast. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 0) {
            System.err.println("usage: java -cp ... gradereach.benchlink.Main (the bench's wire on standard input)");
            System.exit(2);
        }
        System.exit(Benchlink.serve(System.in, System.out, System.err));
    }
}
