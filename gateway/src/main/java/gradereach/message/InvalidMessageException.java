package gradereach.message;

/** Thrown for a body that is not a valid inference message. The text names the invalid member and the problem. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidMessageException(String message) {
        super(message, null, false, false);
    }
}
