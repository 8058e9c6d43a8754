package gradereach.oip;

import gradereach.message.InvalidMessageException;

/** Checks of messages before their conversion; each error names the path of the faulty field. */
final class MessageChecks {
    private MessageChecks() { }

    /** Throws an error that names {@code path} unless {@code holds}. */
    static void require(boolean holds, String path, String error) throws InvalidMessageException {
        if (!holds) {
            throw new InvalidMessageException(path + ": " + error);
        }
    }

    /** Returns the value; rejects NaN and infinities, which JSON cannot represent. */
    static double requireFinite(double value, String path) throws InvalidMessageException {
        require(Double.isFinite(value), path, "no finite number, which JSON cannot carry to executors");
        return value;
    }
}
