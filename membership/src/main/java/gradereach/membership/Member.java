package gradereach.membership;

/**
 * What is said of one member. Of two words on the same name the one with the higher incarnation holds; of one incarnation the
 * graver state (SWIM, section 4.2): only the member itself can take a word back, by a higher incarnation.
 *
 * @param address where it is met
 */
public record Member(String name, String address, long incarnation, State state) {
    /** In order of gravity. */
    public enum State { ALIVE, SUSPECT, DEAD, LEFT }

    /** Whether this word holds against another on the same name. */
    public boolean overrides(Member other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    public boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
