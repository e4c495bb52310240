package io.jayhead.platform;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.VmName;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Decodes the JSON answers of the platform. */
final class JsonAnswers {

    private JsonAnswers() {}

    static ListResult.Listed list(String body) throws IOException {
        JsonList list = JsonList.read(body, "items");
        List<StoredObject> objects = new ArrayList<>();
        for (JsonFields item : list.entries()) {
            objects.add(new StoredObject(item.text("name"), item.number("version"), item.text("body")));
        }
        return new ListResult.Listed(list.header().number("revision"), objects);
    }

    static WatchResult.Changed watch(String body) throws IOException {
        JsonList list = JsonList.read(body, "changes");
        List<ObjectChange> changes = new ArrayList<>();
        for (JsonFields change : list.entries()) {
            changes.add(
                    new ObjectChange(change.text("name"), change.numberOrZero("version"), change.isTrue("deleted")));
        }
        return new WatchResult.Changed(list.header().number("revision"), changes);
    }

    static VmListResult.Listed vms(String body) throws IOException {
        List<VmRecord> vms = new ArrayList<>();
        for (JsonFields vm : JsonList.read(body, "vms").entries()) {
            vms.add(new VmRecord(
                    VmName.of(vm.text("name")),
                    AvailabilityZone.of(vm.text("availability_zone")),
                    "leaving".equals(vm.text("state"))));
        }
        return new VmListResult.Listed(vms);
    }
}
