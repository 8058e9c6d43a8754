package gradereach.api;

/**
 * Settings of this front end within its group of front ends.
 *
 * @param index of this front end, from 0
 * @param frontEndCount number of front ends
 * @param subscribesToRoster whether roster updates come only after a subscription
 * @param location of this front end; not used by the policy
 * @param probeCost in points, the unit of {@link ModelGroup#value}; also that of a status query
 * @param crossZoneCost of a forward to another zone, in points; not used by the policy
 * @param batchInterval milliseconds between event batches; a queued inference is rejected three of them before its deadline
 */
public record FrontEndSettings(int index, int frontEndCount, int location, boolean peerMessagesAllowed,
        boolean probesAllowed, boolean subscribesToRoster, double probeCost, double crossZoneCost, double batchInterval) { }
