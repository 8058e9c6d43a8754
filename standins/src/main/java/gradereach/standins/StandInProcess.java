package gradereach.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;

/**
 * Runs the stand-ins as a process with the arguments {@code FLEET.json TRANSCRIPT}. Prints its ports in one line and exits at the
 * end of its input.
 */
public final class StandInProcess {
    private StandInProcess() { }

    public static void main(String[] args) throws Exception {
        StandInWarmUp.run();
        try (StandInFleet fleet = new StandInFleet(new ObjectMapper().readTree(Path.of(args[0]).toFile()),
                Path.of(args[1]))) {
            System.out.println("roster " + fleet.rosterPort() + " control " + fleet.controlPort());
            while (System.in.read() >= 0) { }
        }
    }
}
