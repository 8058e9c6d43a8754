package gradereach.plan;

import java.util.List;

/** A deployment file that cannot be used; one line for each error, with its path. */
public final class InvalidDeploymentException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    public InvalidDeploymentException(List<String> errors) {
        super(String.join("; ", errors));
        this.errors = List.copyOf(errors);
    }

    public List<String> errors() {
        return errors;
    }
}
