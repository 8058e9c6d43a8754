/** Randomly scripted peers of front ends that speak the platform's protocol, and the auditor that checks the traffic. */
package gradereach.standins.frames;
