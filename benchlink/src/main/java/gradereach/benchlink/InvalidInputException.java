package gradereach.benchlink;

import java.io.IOException;

/** A frame, record or start message is malformed. The message is a single line. */
public final class InvalidInputException extends IOException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
