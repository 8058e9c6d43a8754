package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradereach.api.ExecutorState;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Executors of the same location, or of the same cell, drop each other's repeats; the roster does not always give them. */
class UnknownDedupScopeTest {
    private static RosterEntry rosterEntry(int number, int location, int cell) {
        return new RosterEntry("10.0.0." + number + ":80", 1, 0, ExecutorState.READY, location, 0, cell);
    }

    /** Guards against a repeat at an executor that need not know the dedup key, because two unknown scopes count as the same. */
    @ParameterizedTest
    @CsvSource({
        // group, location and cell of either executor, forwards after the first executor's connection broke
        "deduped-in-location, -1, 0, -1, 0, 1", "deduped-in-location, 1, 0, 1, 5, 2", "deduped-in-location, 1, 0, -1, 0, 1",
        "deduped-in-cell, 0, -1, 0, -1, 1", "deduped-in-cell, 0, 7, 1, 7, 2", "deduped-in-cell, 0, 7, 0, -1, 1",
    })
    void unknownLocationsOrCellsAreNotTheSame(String group, int location, int cell, int otherLocation, int otherCell, int forwards) {
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity());
        harness.updateRoster(RosterUpdateKind.FULL, rosterEntry(1, location, cell));
        ModelGroup modelGroup = CoordinatorHarness.GROUPS.stream().filter(candidate -> candidate.name().equals(group)).findAny()
                .orElseThrow();
        harness.sendMessage("a", modelGroup, 1);
        InFlightForward first = harness.awaitForward();
        harness.updateRoster(RosterUpdateKind.FULL, rosterEntry(2, otherLocation, otherCell));
        harness.endForward(first, Outcome.RESET);
        for (int i = 0; i < 20; i++) {
            harness.answerLoadOrders(1);
            harness.advanceTo(harness.now + 10);
        }
        assertEquals(forwards, harness.forwards.size());
    }
}
