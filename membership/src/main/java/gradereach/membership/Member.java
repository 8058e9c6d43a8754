package gradereach.membership;

/**
 * The state of one member, as known or as sent in an update. Of two updates about the same name, the one with the higher incarnation
 * wins, and with equal incarnations the more severe state (SWIM, section 4.2). Only the member itself can refute an update, by a
 * higher incarnation.
 *
 * @param address the member's {@code host:port}
 */
public record Member(String name, String address, long incarnation, State state) {
    /** In order of severity. */
    public enum State { ALIVE, SUSPECT, DEAD, LEFT }

    /** Whether this update takes precedence over another one about the same name. */
    public boolean overrides(Member other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    /** Whether the member counts as present; a suspect one still does. */
    public boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
