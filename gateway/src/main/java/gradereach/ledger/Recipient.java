package gradereach.ledger;

/**
 * The executor process that a forward was meant for.
 *
 * @param instance by which discovery knew the executor; empty where that was not recorded
 * @param address {@code host:port}
 * @param process the number that the executor's process drew at its start, as it told before the forward was intended;
 *     NaN where it had told none
 */
public record Recipient(String instance, String address, double processNumber) {
    /** Nobody can be asked. */
    public static final Recipient UNKNOWN = new Recipient("", "", Double.NaN);

    public boolean isKnown() {
        return !address.isEmpty();
    }
}
