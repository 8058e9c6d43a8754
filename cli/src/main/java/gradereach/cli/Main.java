package gradereach.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.benchlink.Benchlink;
import gradereach.measure.LatencyBenchmark;
import gradereach.measure.StreamingBenchmark;
import gradereach.plan.Deployment;
import gradereach.plan.InvalidDeploymentException;
import gradereach.platform.serve.PlatformProcess;
import gradereach.rehearsal.AlertMonitor;
import gradereach.rehearsal.Auditor;
import gradereach.rehearsal.Rehearsal;
import gradereach.serve.FrontEndProcess;
import gradereach.standins.StandInFleet;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command line. Exit codes: 0 success, 1 runtime error or violated rule, 2 invalid command line or file, 3 inconclusive
 * rehearsal or soak.
 */
@Command(name = "gradereach", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
        description = "A gateway that runs calls on executors that load models on demand.",
        footer = {"", "Begin with: gradereach rehearse quick", "Exit codes: 0 done, 1 failed, 2 bad command line or file."},
        subcommands = {Main.Serve.class, Main.Check.class, Main.Call.class, Main.Keys.class, Main.StandIn.class,
            Main.Rehearse.class, Main.MeasureCommand.class, Main.Bench.class, LedgerCommand.class, AlertsCommand.class,
            MembersCommand.class, Main.VersionCommand.class, Main.Completion.class})
public final class Main implements Runnable {
    /** Exit code of a rehearsal or soak that found no violation but could not check every rule. */
    static final int EXIT_INCONCLUSIVE = 3;

    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new Main()).setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println(command.getCommandSpec().qualifiedName() + ": " + (e.getMessage() == null ? e : e.getMessage()));
            return 1;
        });
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is missing");
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"gradereach " + (version == null ? "in development" : version)};
        }
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, description = "Run a front end until SIGTERM.%nWithout FILE, "
            + "EDGE_CONFIG names a platform's configuration (docs/platform.md).")
    static final class Serve implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", arity = "0..1", description = "deployment file (docs/deployment.md)")
        private Path file;
        @Spec
        private CommandSpec spec;
        @Option(names = "--log", defaultValue = "json", description = "json or plain, on standard error (${DEFAULT-VALUE})")
        private LogFormat log;
        @Option(names = "--log-level", defaultValue = "info", description = "error, warn, info, debug (${DEFAULT-VALUE})")
        private String level;
        @Option(names = "--no-lives", description = "no line for each inference")
        private boolean noInferenceLines;

        @Override
        public Integer call() throws InterruptedException {
            if (file == null) {
                if (System.getenv("EDGE_CONFIG") == null) {
                    throw new CommandLine.ParameterException(spec.commandLine(),
                            "serve needs a deployment file, or EDGE_CONFIG for a platform's configuration");
                }
                return PlatformProcess.run(System.getenv(), System.out);
            }
            LogSetup.configure(log == LogFormat.json, level, !noInferenceLines);
            return FrontEndProcess.run(file, gradereach.serve.FaultInjection.NONE, System.out, System.err);
        }
    }

    /** Constants as they are given on the command line. */
    enum LogFormat { json, plain }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Check a deployment file; prints each error with its path.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            try {
                Deployment deployment = Deployment.read(file);
                System.out.println(file + ": good; " + deployment.customers().size() + " customers, " + deployment.groups().size()
                        + " model groups");
                return 0;
            } catch (InvalidDeploymentException e) {
                e.errors().forEach(System.err::println);
                return 2;
            }
        }
    }

    @Command(name = "call", mixinStandardHelpOptions = true,
            description = "Send one signed inference and print the answer's body.",
            footer = "Exits with 0 for returned, 1 for shed, failed or refused.")
    static final class Call implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "URL",
                description = "a front end, as http://127.0.0.1:8080 or, by gRPC, grpc://127.0.0.1:8081")
        private URI url;
        @Parameters(index = "1", paramLabel = "MODEL")
        private String model;
        @Option(names = "--key", required = true, description = "file with a whsec_ or whsk_ key")
        private Path key;
        @Option(names = "--input", defaultValue = "{\"inputs\":[]}", description = "an Open Inference Protocol request, or @FILE")
        private String input;
        @Option(names = "--id", description = "webhook-id; a new one without it. The same id again is the same inference")
        private String id;
        @Option(names = "--budget", defaultValue = "0", description = "milliseconds that the client waits")
        private long budget;
        @Option(names = "--async", description = "ask for the answer by webhook (Prefer: respond-async)")
        private boolean async;
        @Option(names = "--stream", defaultValue = "0", paramLabel = "COUNT",
                description = "by gRPC: that many inferences in one stream, with ids of their own")
        private int stream;
        @Option(names = "-v", description = "print the answer's status and head too")
        private boolean verbose;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            WebhookKey signer;
            try {
                signer = WebhookKey.parse(Files.readString(key));
            } catch (IllegalArgumentException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--key: " + e.getMessage());
            } catch (IOException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--key: cannot be read: " + key);
            }
            if (!signer.canSign()) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--key: a whpk_ key cannot sign");
            }
            ObjectMapper json = new ObjectMapper();
            JsonNode inputJson = json.readTree(input.startsWith("@") ? Files.readString(Path.of(input.substring(1))) : input);
            String messageId = id != null ? id : "call-" + UUID.randomUUID();
            if ("grpc".equals(url.getScheme())) {
                return new GrpcCall(signer, model, inputJson, messageId, budget, System.out).run(url, stream);
            }
            // A message with a given id may be a repeat, which must have the same bytes, so its timestamp is constant.
            var message = json.createObjectNode().put("type", "inference.requested")
                    .put("timestamp", (id == null ? Instant.now() : Instant.EPOCH).toString());
            var data = message.putObject("data").put("model", model);
            data.set("input", inputJson);
            if (budget > 0) {
                data.put("budget_ms", budget);
            }
            byte[] body = json.writeValueAsBytes(message);
            long timestamp = System.currentTimeMillis() / 1000;
            HttpRequest.Builder request = HttpRequest.newBuilder(url.resolve("/v1/inferences"))
                    .timeout(Duration.ofMillis(budget > 0 ? budget + 1000 : 60_000))
                    .header("content-type", "application/json").header("webhook-id", messageId)
                    .header("webhook-timestamp", Long.toString(timestamp))
                    .header("webhook-signature", KeyRing.signatureHeader(List.of(signer), messageId, timestamp, body))
                    .POST(HttpRequest.BodyPublishers.ofByteArray(body));
            if (async) {
                request.header("prefer", "respond-async");
            }
            HttpResponse<String> response;
            try {
                response = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(Duration.ofSeconds(5)).build()
                        .send(request.build(), HttpResponse.BodyHandlers.ofString());
            } catch (IOException e) {
                System.err.println(url + ": " + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage()));
                return 1;
            }
            if (verbose) {
                System.out.println("HTTP " + response.statusCode());
                response.headers().map().forEach((name, values) -> System.out.println(name + ": " + String.join(", ", values)));
            }
            System.out.println(response.body());
            return response.statusCode() < 300 ? 0 : 1;
        }
    }

    @Command(name = "keys", mixinStandardHelpOptions = true, description = "Make webhook keys, or show a public part.")
    static final class Keys {
        @Command(name = "make", mixinStandardHelpOptions = true, description = "Write a new key into a file that only its owner can read.")
        int make(@Parameters(paramLabel = "FILE") Path file,
                @Option(names = "--ed25519", description = "a whsk_ key pair instead of a shared whsec_ secret") boolean ed25519)
                throws IOException {
            String key = ed25519 ? WebhookKey.newPrivateKey(new SecureRandom()) : WebhookKey.newSecret(new SecureRandom());
            if (Files.exists(file)) {
                System.err.println(file + ": is there already; nothing was written");
                return 1;
            }
            Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            Files.writeString(file, key + "\n");
            System.out.println(ed25519 ? WebhookKey.parse(key).publicKeyText() : file.toString());
            return 0;
        }

        @Command(name = "public", mixinStandardHelpOptions = true, description = "Print the whpk_ part of a whsk_ key.")
        int printPublicKey(@Parameters(paramLabel = "FILE") Path file) throws IOException {
            String publicKey;
            try {
                publicKey = WebhookKey.parse(Files.readString(file)).publicKeyText();
            } catch (IllegalArgumentException e) {
                System.err.println(file + ": " + e.getMessage());
                return 2;
            }
            if (publicKey == null) {
                System.err.println(file + ": a shared secret has no public part");
                return 2;
            }
            System.out.println(publicKey);
            return 0;
        }
    }

    @Command(name = "stand-in", mixinStandardHelpOptions = true,
            description = "Run stand-in executors, store, roster and webhook receiver until standard input ends.")
    static final class StandIn implements Callable<Integer> {
        @Parameters(paramLabel = "FLEET", description = "fleet file (docs/rehearsal.md)")
        private Path fleet;
        @Option(names = "--transcript", defaultValue = "stand-ins.jsonl", description = "what passed (${DEFAULT-VALUE})")
        private Path transcript;

        @Override
        public Integer call() throws IOException, InterruptedException {
            JsonNode fleetConfig = new ObjectMapper().readTree(fleet.toFile());
            try (StandInFleet standIns = new StandInFleet(fleetConfig, transcript)) {
                System.out.println("roster http://127.0.0.1:" + standIns.rosterPort() + "\ncontrol http://127.0.0.1:"
                        + standIns.controlPort() + "\nexecutors " + String.join(" ", standIns.addresses()));
                while (System.in.read() >= 0) { }
            }
            return 0;
        }
    }

    @Command(name = "rehearse", mixinStandardHelpOptions = true,
            description = "Play a scripted day with front ends and stand-ins as processes, and judge the rules.",
            footer = {"", "Days: quick, quiet-day, short-day, grpc-day, bad-day, bad-day-kills, reservations, troubles/KIND, or a file.",
                "Exits with 0 only when all rules were kept; with 3 where none was broken and a play could not tell all."},
            subcommands = SoakCommand.class)
    static final class Rehearse implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Parameters(paramLabel = "DAY", arity = "0..1")
        private String day;
        @Option(names = "--keep", description = "folder for transcripts and logs; a temporary one without it")
        private Path keep;
        @Option(names = "--alerts", description = "have front ends push their measures, and say which alerts fired (docs/alerts.md)")
        private boolean alerts;
        @Option(names = "--times", defaultValue = "1", description = "play it so many times in a row")
        private int times;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (day == null) {
                throw new CommandLine.ParameterException(spec.commandLine(), "Missing required parameter: 'DAY'");
            }
            JsonNode script;
            try {
                script = Rehearsal.loadScript(day);
            } catch (Rehearsal.InvalidScriptException e) {
                System.err.println(e.getMessage());
                return 2;
            }
            boolean passed = true;
            boolean conclusive = true;
            for (int i = 0; i < times; i++) {
                Path runFolder = keep != null ? keep.resolve(times > 1 ? Integer.toString(i + 1) : "")
                        : Files.createTempDirectory("rehearsal");
                List<String> frontEnd = new ArrayList<>(Rehearsal.javaCommand("gradereach.cli.Main"));
                frontEnd.add("serve");
                System.out.println(day + ": " + script.path("about").asText() + " (" + runFolder + ")");
                Rehearsal rehearsal = new Rehearsal(script, runFolder, frontEnd, System.out);
                Auditor.AuditReport report;
                if (alerts) {
                    try (AlertMonitor monitor = new AlertMonitor(script)) {
                        report = rehearsal.withAlertMonitor(monitor).run();
                        monitor.print(System.out);
                    }
                } else {
                    report = rehearsal.run();
                }
                report.counts().forEach((name, count) -> System.out.println("  " + name + ": " + count));
                report.results().forEach(System.out::println);
                report.inconclusiveReasons().forEach(reason -> System.out.println("not decided: " + reason));
                conclusive &= report.conclusive();
                passed &= report.passed() || !report.conclusive();
            }
            System.out.println(!passed ? "FAIL" : conclusive ? "PASS" : "VOID");
            return !passed ? 1 : conclusive ? 0 : EXIT_INCONCLUSIVE;
        }
    }

    @Command(name = "measure", mixinStandardHelpOptions = true,
            description = "Measure what one front end adds, against asking an executor directly, in one run.")
    static final class MeasureCommand implements Callable<Integer> {
        @Option(names = "--rates", split = ",", defaultValue = "2000,10000", description = "inferences a second (${DEFAULT-VALUE})")
        private int[] rates;
        @Option(names = "--seconds", defaultValue = "10", description = "of each run (${DEFAULT-VALUE})")
        private int seconds;
        @Option(names = "--rounds", defaultValue = "2", description = "how often all runs are repeated in turn (${DEFAULT-VALUE})")
        private int rounds;
        @Option(names = "--connections", defaultValue = "0", description = "further connections that are open and silent")
        private int connections;
        @Option(names = "--ledger", description = "non-retriable inferences with a ledger, in place of retriable ones without")
        private boolean ledger;

        @Option(names = "--push",
                description = "what pushing measures costs inferences: off, to a receiver that is well, drops half, hangs")
        private boolean push;
        @Option(names = "--streams", paramLabel = "OPEN", description = "answers in parts instead, with so many streams open at last")
        private Integer streams;

        @Override
        public Integer call() throws IOException, InterruptedException {
            String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
            List<String> frontEnd = List.of(java, "-Xmx1g", "-cp", System.getProperty("java.class.path"),
                    "gradereach.cli.Main", "serve", "--no-lives");
            if (streams != null) {
                new StreamingBenchmark(Files.createTempDirectory("measure"), frontEnd, System.out).run(rounds, streams);
                return 0;
            }
            if (push) {
                LatencyBenchmark benchmark = new LatencyBenchmark(Files.createTempDirectory("measure"), frontEnd, ledger, System.out);
                benchmark.runRemoteWrite(rates[0], seconds, rounds);
                benchmark.runSimultaneousPushers();
                return 0;
            }
            new LatencyBenchmark(Files.createTempDirectory("measure"), frontEnd, ledger, System.out)
                    .run(rates, seconds, rounds, connections);
            return 0;
        }
    }

    @Command(name = "benchlink", mixinStandardHelpOptions = true,
            description = "Run the decisions on a bench's wire (standard input and output).")
    static final class Bench implements Callable<Integer> {
        @Override
        public Integer call() {
            return Benchlink.serve(System.in, System.out, System.err);
        }
    }

    @Command(name = "version", description = "Print the version.")
    static final class VersionCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            System.out.println(new Version().getVersion()[0]);
            return 0;
        }
    }

    @Command(name = "completion", description = "Print a completion script for bash and zsh: source <(gradereach completion)")
    static final class Completion implements Callable<Integer> {
        @Override
        public Integer call() {
            System.out.println(AutoComplete.bash("gradereach", commandLine()));
            return 0;
        }
    }
}
