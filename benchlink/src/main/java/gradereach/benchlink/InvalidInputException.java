package gradereach.benchlink;

import java.io.IOException;

/** Input that is no proper frame, record or start message; the message is one plain line. */
public final class InvalidInputException extends IOException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String what) {
        super(what);
    }
}
