package gradereach.rehearsal.soak;

import gradereach.standins.faults.SystemFault;
import gradereach.standins.frames.RequestClient;
import java.util.List;
import java.util.Map;

/**
 * A front end process of a soak, its clients, and the faults of its system calls.
 *
 * @param faults system call faults by kind, in the order in which the process was given them
 */
record SoakFrontEnd(FrontEndChildProcess process, List<RequestClient> clients, Map<SoakFault, List<SystemFault>> faults) {
    /** All system call faults, in the order in which the process was given them. */
    List<SystemFault> allFaults() {
        return faults.values().stream().flatMap(List::stream).toList();
    }
}
