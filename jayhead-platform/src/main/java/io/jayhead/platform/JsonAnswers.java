package io.jayhead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.VmName;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Decodes the JSON answers of the platform. */
final class JsonAnswers {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonAnswers() {}

    static ListResult.Listed list(String body) throws IOException {
        JsonNode root = MAPPER.readTree(body);
        List<StoredObject> objects = new ArrayList<>();
        for (JsonNode item : required(root, "items")) {
            objects.add(new StoredObject(
                    required(item, "name").asText(),
                    required(item, "version").asLong(),
                    required(item, "body").asText()));
        }
        return new ListResult.Listed(required(root, "revision").asLong(), objects);
    }

    static WatchResult.Changed watch(String body) throws IOException {
        JsonNode root = MAPPER.readTree(body);
        List<ObjectChange> changes = new ArrayList<>();
        for (JsonNode change : required(root, "changes")) {
            changes.add(new ObjectChange(
                    required(change, "name").asText(),
                    change.path("version").asLong(),
                    change.path("deleted").asBoolean()));
        }
        return new WatchResult.Changed(required(root, "revision").asLong(), changes);
    }

    static VmListResult.Listed vms(String body) throws IOException {
        List<VmRecord> vms = new ArrayList<>();
        for (JsonNode vm : required(MAPPER.readTree(body), "vms")) {
            vms.add(new VmRecord(
                    VmName.of(required(vm, "name").asText()),
                    AvailabilityZone.of(required(vm, "availability_zone").asText()),
                    "leaving".equals(required(vm, "state").asText())));
        }
        return new VmListResult.Listed(vms);
    }

    private static JsonNode required(JsonNode node, String field) throws IOException {
        JsonNode value = node.get(field);
        if (value == null) {
            throw new IOException("answer without field " + field);
        }
        return value;
    }
}
