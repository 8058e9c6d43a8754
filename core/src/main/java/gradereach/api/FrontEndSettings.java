package gradereach.api;

/**
 * Settings of this front end within its group of front ends.
 *
 * @param index of this front end, from 0
 * @param frontEndCount number of front ends
 * @param subscribesToRoster whether roster updates come only after a subscription
 * @param probeCost in points, as {@link ModelGroup#value}
 * @param batchInterval milliseconds between event batches; answers are given three ticks before the deadline
 */
public record FrontEndSettings(int index, int frontEndCount, int location, boolean peerMessagesAllowed,
        boolean probesAllowed, boolean subscribesToRoster, double probeCost, double crossZoneCost, double batchInterval) { }
