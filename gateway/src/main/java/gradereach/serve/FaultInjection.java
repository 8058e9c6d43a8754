package gradereach.serve;

import gradereach.api.RouterActions;
import gradereach.desk.ExecutorTransport;
import gradereach.ledger.disk.Disk;
import java.util.function.UnaryOperator;

/**
 * What stands between a front end and its world: nothing in service; doubles that break rules, crash at a step or fail
 * as a disk does in rehearsals and tests.
 *
 * @param outlet around the module's actions
 * @param links around the way to the executors
 */
public record FaultInjection(UnaryOperator<RouterActions> routerActions, UnaryOperator<ExecutorTransport> executorTransport, Disk disk) {
    public static final FaultInjection NONE = new FaultInjection(UnaryOperator.identity(), UnaryOperator.identity(), Disk.FILE_SYSTEM);
}
