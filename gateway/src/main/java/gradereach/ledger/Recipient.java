package gradereach.ledger;

/**
 * The executor process to which a forward was addressed.
 *
 * @param instance the executor's instance in discovery; empty where that was not recorded
 * @param address {@code host:port}
 * @param processNumber the random number that the executor process drew at its start, as reported before the intent of the forward
 *     was recorded; NaN if it had reported none
 */
public record Recipient(String instance, String address, double processNumber) {
    /** The executor is not known, so that it cannot be asked for the outcome. */
    public static final Recipient UNKNOWN = new Recipient("", "", Double.NaN);

    /** Whether the executor's address is known. */
    public boolean isKnown() {
        return !address.isEmpty();
    }
}
