package gradereach.serve;

import gradereach.api.RouterActions;
import gradereach.desk.ExecutorTransport;
import gradereach.ledger.disk.Disk;
import java.util.function.UnaryOperator;

/**
 * Replaces parts of a front end, so that rehearsals and tests can make it break rules, crash at a given step or see a failing
 * disk. In production, this is {@link #NONE}.
 *
 * @param routerActions decorates the actions of the router
 * @param executorTransport decorates the transport to the executors
 * @param disk file system of the ledger
 */
public record FaultInjection(UnaryOperator<RouterActions> routerActions, UnaryOperator<ExecutorTransport> executorTransport,
        Disk disk) {
    /** No faults. */
    public static final FaultInjection NONE = new FaultInjection(UnaryOperator.identity(), UnaryOperator.identity(), Disk.FILE_SYSTEM);
}
