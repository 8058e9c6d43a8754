package gradereach.benchmarks;

import gradereach.message.InferenceMessage;
import gradereach.message.InvalidMessageException;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time to verify and parse a message before it reaches the decision thread. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class Signatures {
    @Param({"1", "100"})
    public int customers;

    private final byte[] body = ("{\"type\":\"inference.requested\",\"timestamp\":\"t\",\"data\":{\"model\":\"m\",\"input\":{\"x\":["
            + "0.125,".repeat(127) + "0.125]}}}").getBytes(StandardCharsets.UTF_8);
    private final WebhookKey hmac = WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()));
    private final WebhookKey keyPair = WebhookKey.parse(WebhookKey.newPrivateKey(new SecureRandom()));
    private KeyRing ring;
    private String hmacHeader;
    private String ed25519Header;

    @org.openjdk.jmh.annotations.Setup
    public void start() {
        List<List<WebhookKey>> keys = new ArrayList<>();
        for (int i = 0; i < customers - 1; i++) {
            keys.add(List.of(WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()))));
        }
        keys.add(List.of(hmac, keyPair));
        ring = new KeyRing(keys);
        hmacHeader = "v1," + hmac.sign("id", 1000, body);
        ed25519Header = "v1a," + keyPair.sign("id", 1000, body);
    }

    @Benchmark
    public KeyRing.VerificationResult hmacOfTheLikelyCustomer() {
        return ring.verify("id", "1000", hmacHeader, body, 1000, customers - 1);
    }

    @Benchmark
    public KeyRing.VerificationResult hmacOfAnyCustomer() {
        return ring.verify("id", "1000", hmacHeader, body, 1000, -1);
    }

    @Benchmark
    public KeyRing.VerificationResult ed25519() {
        return ring.verify("id", "1000", ed25519Header, body, 1000, customers - 1);
    }

    @Benchmark
    public InferenceMessage parseBody() throws InvalidMessageException {
        return InferenceMessage.parse(body);
    }
}
