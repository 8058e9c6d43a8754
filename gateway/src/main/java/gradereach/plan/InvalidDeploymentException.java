package gradereach.plan;

import java.util.List;

/** Thrown for an invalid deployment file; each error names its path in the file. */
public final class InvalidDeploymentException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    /** @param errors one line for each error, with its path in the file */
    public InvalidDeploymentException(List<String> errors) {
        super(String.join("; ", errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns one line for each error, with its path in the file. */
    public List<String> errors() {
        return errors;
    }
}
