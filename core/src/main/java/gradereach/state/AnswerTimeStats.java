package gradereach.state;

/** Answer times of loaded copies, of one model or over a model group. */
public final class AnswerTimeStats {
    /** Milliseconds. */
    public double mean;
    public double count;
    /** The lowest recent value of the mean. Grows slowly, and so follows answer times that rise for good. */
    public double lowestMean;
    private double updatedAt;

    /**
     * Adds an answer time.
     *
     * @param samples about how many of the latest answers the mean reflects
     * @param initialAnswers during the first answers, as many as this, the lowest mean is the mean itself
     * @param growthPerMilli fraction by which the lowest mean grows per millisecond
     */
    public void add(double answerTime, double now, int samples, int initialAnswers, double growthPerMilli) {
        count++;
        mean += (answerTime - mean) / Math.min(count, samples);
        lowestMean = count < initialAnswers ? mean : Math.min(lowestMean * (1 + growthPerMilli * (now - updatedAt)), mean);
        updatedAt = now;
    }
}
