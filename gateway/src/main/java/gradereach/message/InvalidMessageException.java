package gradereach.message;

/** A body that is no proper inference message; the text names the place and what is wrong there. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidMessageException(String what) {
        super(what, null, false, false);
    }
}
