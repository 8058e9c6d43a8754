package gradereach.oip;

import gradereach.message.InvalidMessageException;

/** Refusals of messages that cannot be converted; each names the place in the message. */
final class MessageChecks {
    private MessageChecks() { }

    static void require(boolean holds, String place, String otherwise) throws InvalidMessageException {
        if (!holds) {
            throw new InvalidMessageException(place + ": " + otherwise);
        }
    }

    /** The value itself, refused where JSON has no form for it. */
    static double requireFinite(double value, String place) throws InvalidMessageException {
        require(Double.isFinite(value), place, "no finite number, which JSON cannot carry to executors");
        return value;
    }
}
