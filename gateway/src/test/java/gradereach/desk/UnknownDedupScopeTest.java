package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Executors of one location, or of one cell, drop each other's repeats; discovery does not always tell where one is. */
class UnknownDedupScopeTest {
    private static RosterEntry rosterEntry(int n, int location, int cell) {
        return new RosterEntry("10.0.0." + n + ":80", 1, 0, ExecutorState.READY, location, 0, cell);
    }

    /** Guards against a repeat that runs at an executor which need not know the mark, two unknown places being taken for one. */
    @ParameterizedTest
    @CsvSource({
        // group, location and cell of the one and of the other executor, forwards after the first one's connection broke
        "marked-there, -1, 0, -1, 0, 1", "marked-there, 1, 0, 1, 5, 2", "marked-there, 1, 0, -1, 0, 1",
        "marked-in-cell, 0, -1, 0, -1, 1", "marked-in-cell, 0, 7, 1, 7, 2", "marked-in-cell, 0, 7, 0, -1, 1",
    })
    void unknownLocationsOrCellsAreNotTheSame(String group, int location, int cell, int otherLocation, int otherCell, int forwards) {
        CoordinatorHarness stage = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity());
        stage.updateRoster(RosterUpdateKind.FULL, rosterEntry(1, location, cell));
        ModelGroup marked = CoordinatorHarness.GROUPS.stream().filter(g -> g.name().equals(group)).findAny().orElseThrow();
        stage.sendMessage("a", marked, 1);
        InFlightForward first = stage.awaitForward();
        stage.updateRoster(RosterUpdateKind.FULL, rosterEntry(2, otherLocation, otherCell));
        stage.endForward(first, Outcome.RESET);
        for (int i = 0; i < 20; i++) {
            stage.answerLoadOrders(1);
            stage.advanceTo(stage.now + 10);
        }
        assertEquals(forwards, stage.forwards.size());
    }
}
