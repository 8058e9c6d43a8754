package gradereach.api;

/**
 * Rules for forwarding. Times are in milliseconds.
 *
 * @param maxForwards forwards per inference
 * @param hedgingAllowed whether an inference may be forwarded again while a forward of it is in flight
 * @param cancellationAllowed whether the policy cancels the forwards in flight of a cancelled inference that does not stream
 * @param connectTimeout how long opening a connection to an executor may take; on the platform also how long a write may stall
 * @param answerSlack how long after an inference's deadline its answer still counts as in time; not used by the policy
 * @param maxRetryAfter longest time that the client of a shed inference is told to wait before it repeats it
 * @param sendsRetryAfter whether the client of a shed inference is told how long to wait
 * @param drainGrace how long after the announcement of a drain the executor may still be sent to
 */
public record ForwardRules(int maxForwards, boolean hedgingAllowed, boolean cancellationAllowed, double connectTimeout,
        double answerSlack, double maxRetryAfter, boolean sendsRetryAfter, double drainGrace) { }
