package gradereach.state;

/** Answer times of loaded copies, of one model or over a model group. */
public final class AnswerTimeStats {
    public double mean;
    public double count;
    /** The lowest value of the mean, which grows slowly. */
    public double lowestMean;
    private double updatedAt;

    /**
     * Adds an answer time to the mean over the last {@code samples} answers. The lowest mean is the mean itself for the
     * {@code first} answers, and after that grows by the fraction {@code growth} of itself per millisecond.
     */
    public void add(double answerTime, double now, int samples, int first, double growth) {
        count++;
        mean += (answerTime - mean) / Math.min(count, samples);
        lowestMean = count < first ? mean : Math.min(lowestMean * (1 + growth * (now - updatedAt)), mean);
        updatedAt = now;
    }
}
