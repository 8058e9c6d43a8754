package gradereach.api;

/**
 * Rules for forwarding. Times are in milliseconds.
 *
 * @param maxForwards forwards per inference
 * @param hedgingAllowed whether an inference may be forwarded again while a forward of it is in flight
 * @param maxRetryAfter longest time that a shed client is told to wait before it repeats
 * @param drainGrace time after the announcement of a drain within which sends to the executor have to stop
 */
public record ForwardRules(int maxForwards, boolean hedgingAllowed, boolean cancellationAllowed, double connectTimeout,
        double answerSlack, double maxRetryAfter, boolean sendsRetryAfter, double drainGrace) { }
