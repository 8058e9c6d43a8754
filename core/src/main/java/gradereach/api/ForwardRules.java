package gradereach.api;

/**
 * What forwards are allowed.
 *
 * @param drainGrace milliseconds after an executor's drain was told within which sends to it have to stop
 */
public record ForwardRules(int maxForwards, boolean hedgingAllowed, boolean cancellationAllowed, double connectTimeout,
        double answerSlack, double maxRetryAfter, boolean sendsRetryAfter, double drainGrace) { }
