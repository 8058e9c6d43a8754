package gradereach.plan;

import static gradereach.plan.DeploymentJson.number;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.alerts.AlertRuleFile;
import gradereach.api.DedupScope;
import gradereach.api.ModelGroup;
import gradereach.api.RetrySafety;
import gradereach.desk.ModelCatalog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The model groups and the models of a deployment file. */
final class ModelSettings {
    private final JsonNode tree;
    private final List<String> errors;
    private final List<ModelGroup> groups = new ArrayList<>();
    private final List<ModelCatalog.Entry> models = new ArrayList<>();

    /** @param errors receives the errors found */
    ModelSettings(JsonNode tree, List<String> errors) {
        this.tree = tree;
        this.errors = errors;
        readModels(readGroups());
    }

    private Map<String, ModelGroup> readGroups() {
        Map<String, ModelGroup> byName = new HashMap<>();
        JsonNode list = tree.path("model_groups");
        for (int i = 0; i < list.size(); i++) {
            String path = "/model_groups/" + i;
            ModelGroup group = readGroup(path, list.path(i));
            if (byName.put(group.name(), group) != null) {
                errors.add(path + "/name: duplicate");
            }
            groups.add(group);
        }
        return byName;
    }

    private ModelGroup readGroup(String path, JsonNode settings) {
        RetrySafety retrySafety = RetrySafety.valueOf(settings.path("repeat").asText().toUpperCase().replace('-', '_'));
        DedupScope scope = DedupScope.valueOf(settings.path("dedup_scope").asText("all").toUpperCase());
        double dedupWindow = number(settings, "dedup_window_ms", 0);
        if (retrySafety == RetrySafety.DEDUPED && dedupWindow <= 0) {
            errors.add(path + "/dedup_window_ms: a deduped group needs the time in which repeats are dropped");
        }
        double slo = number(settings, "slo_ms", 0);
        double timeout = number(settings, "route_timeout_ms", 0);
        if (timeout < slo) {
            errors.add(path + "/route_timeout_ms: shorter than slo_ms");
        }
        return new ModelGroup(settings.path("name").asText(), retrySafety, scope, dedupWindow, slo, /* sloPerWork */ 0, timeout,
                number(settings, "value", 1), number(settings, "late_share", 0),
                settings.path("streamed").asBoolean(false));
    }

    private void readModels(Map<String, ModelGroup> groupsByName) {
        Set<String> names = new HashSet<>();
        JsonNode list = tree.path("models");
        for (int i = 0; i < list.size(); i++) {
            JsonNode settings = list.path(i);
            String name = settings.path("name").asText();
            ModelGroup group = groupsByName.get(settings.path("group").asText());
            if (group == null) {
                errors.add("/models/" + i + "/group: no such model group");
            }
            if (!names.add(name)) {
                errors.add("/models/" + i + "/name: duplicate");
            }
            models.add(new ModelCatalog.Entry(name, ModelCatalog.hash(name), group, number(settings, "memory_mb", 0),
                    settings.path("lanes").asInt(1), number(settings, "load_ms", 0)));
        }
    }

    List<ModelGroup> groups() {
        return groups;
    }

    ModelCatalog modelCatalog() {
        return new ModelCatalog(models);
    }

    /** Returns the fraction of the requested value that must be returned in time, by model group. */
    Map<String, Double> objectives() {
        Map<String, Double> objectives = new LinkedHashMap<>();
        for (JsonNode group : tree.path("model_groups")) {
            objectives.put(group.path("name").asText(), group.path("objective").asDouble(AlertRuleFile.DEFAULT_OBJECTIVE));
        }
        return objectives;
    }

    /** Returns the longest usual load time of any model, in milliseconds. */
    double maxLoadMillis() {
        return models.stream().mapToDouble(ModelCatalog.Entry::loadMillis).max().orElse(0);
    }
}
