package gradereach.oip;

import gradereach.message.InvalidMessageException;

/** Checks of messages before their conversion; each error names the path of the faulty field. */
final class MessageChecks {
    private MessageChecks() { }

    static void require(boolean holds, String place, String otherwise) throws InvalidMessageException {
        if (!holds) {
            throw new InvalidMessageException(place + ": " + otherwise);
        }
    }

    /** Returns the value; rejects NaN and infinities, which JSON cannot represent. */
    static double requireFinite(double value, String place) throws InvalidMessageException {
        require(Double.isFinite(value), place, "no finite number, which JSON cannot carry to executors");
        return value;
    }
}
