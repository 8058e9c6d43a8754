package gradereach.api;

/** This front end among its equals. */
public record FrontEndSettings(int index, int frontEnds, int location, boolean peerMessagesAllowed, boolean probesAllowed, boolean subscribesToRoster,
        double probeCost, double crossZoneCost, double tick) { }
