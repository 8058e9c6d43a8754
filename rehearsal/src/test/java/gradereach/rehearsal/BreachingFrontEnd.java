package gradereach.rehearsal;

import gradereach.api.ExecutorState;
import gradereach.api.RetrySafety;
import gradereach.api.RouterActions;
import gradereach.ledger.disk.Disk;
import gradereach.serve.FaultInjection;
import gradereach.serve.FrontEndProcess;
import gradereach.state.Executor;
import gradereach.state.Inference;
import gradereach.state.Model;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * A front end that violates one rule of the auditor on purpose, by a proxy around the router's actions. Arguments:
 * {@code RULE FILE}, the number of the rule and a deployment file.
 */
public final class BreachingFrontEnd {
    /** Rule 1: this forward is delayed beyond the deadline, and with it all that the decision thread does. */
    private static final int DELAYED_FORWARD = 20;
    private static final int FORWARD_DELAY_MILLIS = 3000;
    /** Rule 5: further load orders that are sent with each one. */
    private static final int EXTRA_LOAD_ORDERS = 5;
    /** Rule 4: further forwards that are sent with each one to an executor that started recently. */
    private static final int EXTRA_FORWARDS = 300;
    /**
     * Rule 3: one of this many forwards goes to an executor that drains or was removed. If all did, the router would soon find
     * no executor that answers.
     */
    private static final int MISDIRECT_INTERVAL = 4;

    private BreachingFrontEnd() { }

    public static void main(String[] args) throws InterruptedException {
        int rule = Integer.parseInt(args[0]);
        FaultInjection violation = new FaultInjection(real -> wrapActions(real, rule), UnaryOperator.identity(), Disk.FILE_SYSTEM);
        System.exit(FrontEndProcess.run(Path.of(args[1]), violation, System.out, System.err));
    }

    private static RouterActions wrapActions(RouterActions real, int rule) {
        Set<Executor> usedExecutors = new LinkedHashSet<>();
        int[] forwardCount = {0};
        return (RouterActions) Proxy.newProxyInstance(RouterActions.class.getClassLoader(),
                new Class<?>[] {RouterActions.class},
                (proxy, method, args) -> {
                    String name = method.getName();
                    if (name.equals("sendForward")) {
                        usedExecutors.add((Executor) args[1]);
                        if (rule == 1 && ++forwardCount[0] == DELAYED_FORWARD) {
                            Thread.sleep(FORWARD_DELAY_MILLIS);
                        }
                        if (rule == 2 && ((Inference) args[0]).group.retrySafety() == RetrySafety.NON_RETRIABLE) {
                            real.sendForward((Inference) args[0], (Executor) args[1], (Double) args[2]);
                        }
                        if (rule == 3 && ++forwardCount[0] % MISDIRECT_INTERVAL == 0) {
                            args[1] = usedExecutors.stream().filter(executor -> executor.state != ExecutorState.READY).findFirst()
                                    .orElse((Executor) args[1]);
                        }
                    }
                    if (name.equals("sendOrder") && (Integer) args[2] > 0) {
                        for (int i = 0; rule == 5 && i < EXTRA_LOAD_ORDERS; i++) {
                            real.sendOrder((Executor) args[0], (Model) args[1], (Integer) args[2]);
                        }
                    }
                    try {
                        Object result = method.invoke(real, args);
                        if (rule == 4 && name.equals("sendForward") && ((Executor) args[1]).startedAt > 0) {
                            for (int i = 0; i < EXTRA_FORWARDS; i++) {
                                real.sendForward((Inference) args[0], (Executor) args[1], (Double) args[2]);
                            }
                        }
                        return result;
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }
}
