package gradereach.remotewrite;

import gradereach.measures.DurationHistogram;
import gradereach.measures.MetricFamily;
import gradereach.protocol.remotewrite1.Label;
import gradereach.protocol.remotewrite1.MetricMetadata;
import gradereach.protocol.remotewrite1.WriteRequest;
import gradereach.protocol.remotewrite2.BucketSpan;
import gradereach.protocol.remotewrite2.Histogram;
import gradereach.protocol.remotewrite2.Metadata;
import gradereach.protocol.remotewrite2.Request;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xerial.snappy.Snappy;

/** Encodes samples as bodies of remote write requests, in both versions: protobuf in the snappy block format. */
final class RemoteWriteEncoder {
    private RemoteWriteEncoder() { }

    /** Version 2.0: labels are references into a symbol table whose first entry is the empty string. */
    static byte[] encodeV2(List<SeriesSample> samples) throws IOException {
        Request.Builder request = Request.newBuilder();
        Map<String, Integer> symbols = new HashMap<>();
        symbolIndex(symbols, request, "");
        for (SeriesSample sample : samples) {
            var series = request.addTimeseriesBuilder();
            for (String label : sample.labels()) {
                series.addLabelsRefs(symbolIndex(symbols, request, label));
            }
            series.setMetadata(Metadata.newBuilder().setType(switch (sample.type()) {
                case COUNTER -> Metadata.MetricType.METRIC_TYPE_COUNTER;
                case GAUGE -> Metadata.MetricType.METRIC_TYPE_GAUGE;
                case HISTOGRAM -> Metadata.MetricType.METRIC_TYPE_HISTOGRAM;
            }).setHelpRef(symbolIndex(symbols, request, sample.help())).setUnitRef(symbolIndex(symbols, request, sample.unit())));
            series.setCreatedTimestamp(sample.createdMillis());
            if (sample.histogram() == null) {
                series.addSamplesBuilder().setValue(sample.value()).setTimestamp(sample.timestampMillis());
            } else {
                series.addHistograms(histogram(sample));
            }
        }
        return compress(request.build().toByteArray());
    }

    private static int symbolIndex(Map<String, Integer> symbols, Request.Builder request, String text) {
        return symbols.computeIfAbsent(text, symbol -> {
            request.addSymbols(symbol);
            return request.getSymbolsCount() - 1;
        });
    }

    /** Encodes a histogram as spans of adjacent buckets, with each count as the difference from the previous one. */
    private static Histogram histogram(SeriesSample sample) {
        MetricFamily.Buckets buckets = sample.histogram();
        Histogram.Builder histogram = Histogram.newBuilder().setCountInt(buckets.count()).setSum(buckets.sum()).setSchema(buckets.schema())
                .setZeroThreshold(DurationHistogram.ZERO_THRESHOLD_SECONDS).setZeroCountInt(buckets.zeroCount())
                .setTimestamp(sample.timestampMillis());
        int spanEnd = 0; // index after the last span; the offset of the first span is its index
        long previousCount = 0;
        BucketSpan.Builder span = null;
        for (int i = 0; i < buckets.counts().length; i++) {
            if (buckets.counts()[i] == 0) {
                span = null;
                continue;
            }
            if (span == null) {
                span = histogram.addPositiveSpansBuilder().setOffset(buckets.firstIndex() + i - spanEnd);
            }
            span.setLength(span.getLength() + 1);
            spanEnd = buckets.firstIndex() + i + 1;
            histogram.addPositiveDeltas(buckets.counts()[i] - previousCount);
            previousCount = buckets.counts()[i];
        }
        return histogram.build();
    }

    /** Version 1.0: plain samples only, a histogram as the series of a classic histogram. */
    static byte[] encodeV1(List<SeriesSample> samples) throws IOException {
        WriteRequest.Builder request = WriteRequest.newBuilder();
        Set<String> namesWithMetadata = new HashSet<>();
        for (SeriesSample sample : samples) {
            if (sample.histogram() == null) {
                addSample(request, sample.labels(), null, null, sample.value(), sample.timestampMillis());
            } else {
                addClassicHistogram(request, sample);
            }
            String name = sample.labels().get(sample.labels().indexOf("__name__") + 1);
            if (namesWithMetadata.add(name)) {
                request.addMetadata(MetricMetadata.newBuilder().setMetricFamilyName(name).setHelp(sample.help()).setUnit(sample.unit())
                        .setType(switch (sample.type()) {
                            case COUNTER -> MetricMetadata.MetricType.COUNTER;
                            case GAUGE -> MetricMetadata.MetricType.GAUGE;
                            case HISTOGRAM -> MetricMetadata.MetricType.HISTOGRAM;
                        }));
            }
        }
        return compress(request.build().toByteArray());
    }

    /**
     * Adds a series with one sample.
     *
     * @param suffix of the metric name, null for none
     * @param le value of the label {@code le}, the upper bound of a bucket; null for none
     */
    private static void addSample(WriteRequest.Builder request, List<String> labels, String suffix, String le, double value,
            long timestampMillis) {
        var series = request.addTimeseriesBuilder();
        boolean lePending = le != null;
        for (int i = 0; i < labels.size(); i += 2) {
            String name = labels.get(i);
            if (lePending && name.compareTo("le") > 0) {
                series.addLabels(Label.newBuilder().setName("le").setValue(le));
                lePending = false;
            }
            String labelValue = name.equals("__name__") && suffix != null ? labels.get(i + 1) + suffix : labels.get(i + 1);
            series.addLabels(Label.newBuilder().setName(name).setValue(labelValue));
        }
        if (lePending) {
            series.addLabels(Label.newBuilder().setName("le").setValue(le));
        }
        series.addSamplesBuilder().setValue(value).setTimestamp(timestampMillis);
    }

    /** Adds a classic histogram with a bucket for each power of two: finer ones would give the receiver too many series. */
    private static void addClassicHistogram(WriteRequest.Builder request, SeriesSample sample) {
        MetricFamily.Buckets buckets = sample.histogram();
        int bucketsPerDoubling = 1 << buckets.schema();
        long cumulativeCount = buckets.zeroCount();
        int index = 0;
        for (int exponent = -10; exponent <= 6; exponent++) { // a millisecond to a minute
            for (; index < buckets.counts().length && buckets.firstIndex() + index <= exponent * bucketsPerDoubling; index++) {
                cumulativeCount += buckets.counts()[index];
            }
            addSample(request, sample.labels(), "_bucket", Double.toString(Math.pow(2, exponent)), cumulativeCount,
                    sample.timestampMillis());
        }
        addSample(request, sample.labels(), "_bucket", "+Inf", buckets.count(), sample.timestampMillis());
        addSample(request, sample.labels(), "_sum", null, buckets.sum(), sample.timestampMillis());
        addSample(request, sample.labels(), "_count", null, buckets.count(), sample.timestampMillis());
    }

    private static byte[] compress(byte[] message) throws IOException {
        return Snappy.compress(message);
    }
}
