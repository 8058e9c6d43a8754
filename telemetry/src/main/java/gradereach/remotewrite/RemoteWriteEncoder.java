package gradereach.remotewrite;

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

/** Items as the bodies of remote write requests: protobuf in the snappy block format, both versions. */
final class RemoteWriteEncoder {
    private RemoteWriteEncoder() { }

    /** Version 2.0: labels as references into a table of symbols, of which the first is empty. */
    static byte[] encodeV2(List<SeriesSample> items) throws IOException {
        Request.Builder request = Request.newBuilder();
        Map<String, Integer> symbols = new HashMap<>();
        symbolIndex(symbols, request, "");
        for (SeriesSample item : items) {
            var series = request.addTimeseriesBuilder();
            for (String label : item.labels()) {
                series.addLabelsRefs(symbolIndex(symbols, request, label));
            }
            series.setMetadata(Metadata.newBuilder().setType(switch (item.type()) {
                case COUNTER -> Metadata.MetricType.METRIC_TYPE_COUNTER;
                case GAUGE -> Metadata.MetricType.METRIC_TYPE_GAUGE;
                case HISTOGRAM -> Metadata.MetricType.METRIC_TYPE_HISTOGRAM;
            }).setHelpRef(symbolIndex(symbols, request, item.help())).setUnitRef(symbolIndex(symbols, request, item.unit())));
            series.setCreatedTimestamp(item.createdMillis());
            if (item.histogram() == null) {
                series.addSamplesBuilder().setValue(item.value()).setTimestamp(item.timestampMillis());
            } else {
                series.addHistograms(histogram(item));
            }
        }
        return compress(request.build().toByteArray());
    }

    private static int symbolIndex(Map<String, Integer> known, Request.Builder request, String text) {
        return known.computeIfAbsent(text, t -> {
            request.addSymbols(t);
            return request.getSymbolsCount() - 1;
        });
    }

    /** Spans of buckets that lie together, and each count as its difference from the one before. */
    private static Histogram histogram(SeriesSample item) {
        MetricFamily.Buckets from = item.histogram();
        Histogram.Builder to = Histogram.newBuilder().setCountInt(from.count()).setSum(from.sum()).setSchema(from.schema())
                .setZeroThreshold(1e-6).setZeroCountInt(from.zeroCount()).setTimestamp(item.timestampMillis());
        int end = 0; // of the last span; the first one's offset is its index
        long before = 0;
        BucketSpan.Builder span = null;
        for (int i = 0; i < from.counts().length; i++) {
            if (from.counts()[i] == 0) {
                span = null;
                continue;
            }
            if (span == null) {
                span = to.addPositiveSpansBuilder().setOffset(from.firstIndex() + i - end);
            }
            span.setLength(span.getLength() + 1);
            end = from.firstIndex() + i + 1;
            to.addPositiveDeltas(from.counts()[i] - before);
            before = from.counts()[i];
        }
        return to.build();
    }

    /** Version 1.0: plain samples, a histogram as its classic series. */
    static byte[] encodeV1(List<SeriesSample> items) throws IOException {
        WriteRequest.Builder request = WriteRequest.newBuilder();
        Set<String> told = new HashSet<>();
        for (SeriesSample item : items) {
            if (item.histogram() == null) {
                addSample(request, item.labels(), null, null, item.value(), item.timestampMillis());
            } else {
                addClassicHistogram(request, item);
            }
            String name = item.labels().get(item.labels().indexOf("__name__") + 1);
            if (told.add(name)) {
                request.addMetadata(MetricMetadata.newBuilder().setMetricFamilyName(name).setHelp(item.help()).setUnit(item.unit())
                        .setType(switch (item.type()) {
                            case COUNTER -> MetricMetadata.MetricType.COUNTER;
                            case GAUGE -> MetricMetadata.MetricType.GAUGE;
                            case HISTOGRAM -> MetricMetadata.MetricType.HISTOGRAM;
                        }));
            }
        }
        return compress(request.build().toByteArray());
    }

    private static void addSample(WriteRequest.Builder request, List<String> labels, String suffix, String le, double value, long at) {
        var series = request.addTimeseriesBuilder();
        boolean leDue = le != null;
        for (int i = 0; i < labels.size(); i += 2) {
            String name = labels.get(i);
            if (leDue && name.compareTo("le") > 0) {
                series.addLabels(Label.newBuilder().setName("le").setValue(le));
                leDue = false;
            }
            String text = name.equals("__name__") && suffix != null ? labels.get(i + 1) + suffix : labels.get(i + 1);
            series.addLabels(Label.newBuilder().setName(name).setValue(text));
        }
        if (leDue) {
            series.addLabels(Label.newBuilder().setName("le").setValue(le));
        }
        series.addSamplesBuilder().setValue(value).setTimestamp(at);
    }

    /** Every whole doubling is a bucket's end: of finer ones a receiver of classic histograms would have too many series. */
    private static void addClassicHistogram(WriteRequest.Builder request, SeriesSample item) {
        MetricFamily.Buckets from = item.histogram();
        int step = 1 << from.schema();
        long below = from.zeroCount();
        int next = 0;
        for (int exponent = -10; exponent <= 6; exponent++) { // a millisecond to a minute
            for (; next < from.counts().length && from.firstIndex() + next <= exponent * step; next++) {
                below += from.counts()[next];
            }
            addSample(request, item.labels(), "_bucket", Double.toString(Math.pow(2, exponent)), below, item.timestampMillis());
        }
        addSample(request, item.labels(), "_bucket", "+Inf", from.count(), item.timestampMillis());
        addSample(request, item.labels(), "_sum", null, from.sum(), item.timestampMillis());
        addSample(request, item.labels(), "_count", null, from.count(), item.timestampMillis());
    }

    private static byte[] compress(byte[] message) throws IOException {
        return Snappy.compress(message);
    }
}
