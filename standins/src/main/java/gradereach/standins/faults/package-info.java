/** Fault injection into the system calls of a process under test. */
package gradereach.standins.faults;
