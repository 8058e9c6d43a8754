package gradereach.state;

/** Answer times of warm answers: for one model, or over a model group. */
public final class AnswerTimeStats {
    public double mean;
    public double count;
    /** The shortest that the mean has been, forgotten slowly. */
    public double lowestMean;
    private double updatedAt;

    /**
     * A mean over the last {@code over} answers. The shortest is the mean itself for the {@code first} answers,
     * and grows by {@code forget} of itself a millisecond after that.
     */
    public void add(double took, double now, int over, int first, double forget) {
        count++;
        mean += (took - mean) / Math.min(count, over);
        lowestMean = count < first ? mean : Math.min(lowestMean * (1 + forget * (now - updatedAt)), mean);
        updatedAt = now;
    }
}
