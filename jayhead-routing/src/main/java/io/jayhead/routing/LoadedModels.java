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
     * Returns the models that a service depends on.
     *
     * @param fleet the fleet
     * @param service the service
     * @return the models; unknown names are skipped, because the fleet text is validated before it takes effect
     */
    static List<ModelSpec> required(FleetSpec fleet, ServiceSpec service) {
        return service.dependsOn().stream()
                .filter(dependency -> dependency.type() == Dependency.Type.MODEL)
                .map(dependency -> fleet.models().get(dependency.name()))
                .filter(Objects::nonNull)
                .toList();
    }

    /**
     * Finds the first weights or adapter that an upstream does not report as loaded.
     *
     * @param models the required models
     * @param state the state of the upstream
     * @return a description of the missing part, or empty if all models are loaded or none is required
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
