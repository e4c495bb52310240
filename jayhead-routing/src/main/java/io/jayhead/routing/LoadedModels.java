package io.jayhead.routing;

import io.jayhead.model.fleet.Dependency;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.ModelSpec;
import io.jayhead.model.fleet.ServiceSpec;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Compares the models that a service needs with those that an engine reports. */
final class LoadedModels {

    private LoadedModels() {}

    /**
     * Lists the models of a service.
     *
     * @param fleet the fleet
     * @param service the service
     * @return the models; unknown names are left out, the fleet text is validated before it comes into force
     */
    static List<ModelSpec> required(FleetSpec fleet, ServiceSpec service) {
        return service.dependsOn().stream()
                .filter(dependency -> dependency.type() == Dependency.Type.MODEL)
                .map(dependency -> fleet.models().get(dependency.name()))
                .filter(Objects::nonNull)
                .toList();
    }

    /**
     * Names the first part of the models that an upstream does not report.
     *
     * @param models the models needed
     * @param state the state of the upstream
     * @return the missing part as text, or empty if all are loaded
     */
    static Optional<String> missing(List<ModelSpec> models, UpstreamState state) {
        if (models.isEmpty()) {
            return Optional.empty();
        }
        if (state.report().isEmpty()) {
            return Optional.of("no load report yet");
        }
        LoadReport report = state.report().get();
        for (ModelSpec model : models) {
            if (!report.models().contains(model.weights())) {
                return Optional.of("weights " + model.weights() + " not loaded");
            }
            if (model.adapter().isPresent()
                    && !report.adapters().contains(model.adapter().get())) {
                return Optional.of("adapter " + model.adapter().get() + " not loaded");
            }
        }
        return Optional.empty();
    }
}
