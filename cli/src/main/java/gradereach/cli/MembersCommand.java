package gradereach.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the members that one front end knows, from its admin listener. */
@Command(name = "members", mixinStandardHelpOptions = true,
        description = "Ask a front end's admin listener who is there and what its part is.")
final class MembersCommand implements Callable<Integer> {
    @Parameters(paramLabel = "ADMIN", description = "http://host:port of /admin")
    private URI admin;

    @Override
    public Integer call() throws IOException, InterruptedException {
        HttpResponse<String> response;
        try {
            response = HttpClient.newHttpClient().send(HttpRequest.newBuilder(admin.resolve("/members"))
                    .timeout(Duration.ofSeconds(5)).build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            System.err.println(admin + ": not reached: " + e.getClass().getSimpleName());
            return 1;
        }
        if (response.statusCode() != 200) {
            System.err.println(admin + ": no membership there (or not yet)");
            return 1;
        }
        JsonNode membership = new ObjectMapper().readTree(response.body());
        System.out.println(String.format("%d present, its part %.4f, ailing %d", membership.path("present").asInt(),
                membership.path("share").asDouble(), membership.path("ailing").asInt()));
        for (JsonNode member : membership.path("members")) {
            System.out.println(String.format("  %-24s %-24s %-8s incarnation %d%s", member.path("name").asText(),
                    member.path("address").asText(), member.path("state").asText(), member.path("incarnation").asLong(),
                    member.path("self").asBoolean() ? "  (itself)" : ""));
        }
        return 0;
    }
}
