package gradereach.rehearsal;

import gradereach.api.Outlet;
import gradereach.api.Repeat;
import gradereach.api.Standing;
import gradereach.ledger.disk.Disk;
import gradereach.serve.Between;
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

/** A front end built to break one rule, by a double around the module's outlet: {@code RULE FILE}. */
public final class BreachingFrontEnd {
    /** Of so many forwards one goes to a draining executor: were it all, the module would soon find none that answers. */
    private static final int MISDIRECTED_EVERY = 4;

    private BreachingFrontEnd() { }

    public static void main(String[] args) throws InterruptedException {
        int rule = Integer.parseInt(args[0]);
        Between breach = new Between(real -> around(real, rule), UnaryOperator.identity(), Disk.REAL);
        System.exit(FrontEndProcess.run(Path.of(args[1]), breach, System.out, System.err));
    }

    private static Outlet around(Outlet real, int rule) {
        Set<Executor> met = new LinkedHashSet<>();
        int[] count = {0};
        return (Outlet) Proxy.newProxyInstance(Outlet.class.getClassLoader(), new Class<?>[] {Outlet.class},
                (proxy, called, args) -> {
                    String name = called.getName();
                    if (name.equals("forward")) {
                        met.add((Executor) args[1]);
                        if (rule == 1 && ++count[0] == 20) {
                            Thread.sleep(3000);
                        }
                        if (rule == 2 && ((Inference) args[0]).group.repeat() == Repeat.NON_RETRIABLE) {
                            real.forward((Inference) args[0], (Executor) args[1], (Double) args[2]);
                        }
                        if (rule == 3 && ++count[0] % MISDIRECTED_EVERY == 0) {
                            args[1] = met.stream().filter(ex -> ex.standing != Standing.READY).findFirst()
                                    .orElse((Executor) args[1]);
                        }
                    }
                    if (name.equals("order") && (Integer) args[2] > 0) {
                        for (int i = 0; rule == 5 && i < 5; i++) {
                            real.order((Executor) args[0], (Model) args[1], (Integer) args[2]);
                        }
                    }
                    try {
                        Object result = called.invoke(real, args);
                        if (rule == 4 && name.equals("forward") && ((Executor) args[1]).startedAt > 0) {
                            for (int i = 0; i < 300; i++) {
                                real.forward((Inference) args[0], (Executor) args[1], (Double) args[2]);
                            }
                        }
                        return result;
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }
}
