/**
 * Soak tests: front end processes under randomly drawn faults, checked by what the scripted clients, executors and change log
 * observe on the sockets.
 */
package gradereach.rehearsal.soak;
