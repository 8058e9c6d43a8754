/** Soak tests: front end processes under randomly drawn faults, checked by what their peers observe on the sockets. */
package gradereach.rehearsal.soak;
