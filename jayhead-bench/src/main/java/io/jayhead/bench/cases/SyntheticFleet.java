package io.jayhead.bench.cases;

import io.jayhead.config.fleet.FleetParser;
import io.jayhead.model.RequestKey;
import io.jayhead.model.fleet.FleetSpec;

/**
 * Describes the size of a generated fleet.
 *
 * @param upstreams the number of engines, each of which serves every service
 * @param models the number of models, which is also the number of services
 * @param organisations the number of organisations
 * @param budgetsPerOrganisation the number of budgets of each organisation
 */
record SyntheticFleet(int upstreams, int models, int organisations, int budgetsPerOrganisation) {

    /** Budgets of each organisation at the target size, which has 100,000 budgets and 14,000 organisations. */
    static final int TARGET_BUDGETS = 7;

    static final int TARGET_MODELS = 39;

    static SyntheticFleet ofUpstreams(int upstreams) {
        return new SyntheticFleet(upstreams, 1, 1, 1);
    }

    static SyntheticFleet ofOrganisations(int organisations) {
        return new SyntheticFleet(1, TARGET_MODELS, organisations, TARGET_BUDGETS);
    }

    FleetSpec spec() {
        return FleetParser.parse(text()).get();
    }

    String text() {
        StringBuilder text = new StringBuilder("fleet: bench\nweights:\n  - name: weights\nmodels:\n");
        for (int model = 0; model < models; model++) {
            text.append("  - {name: model-").append(model).append(", weights: weights}\n");
        }
        upstreams(text);
        text.append("services:\n");
        for (int service = 0; service < models; service++) {
            service(text, service);
        }
        text.append("organisations:\n");
        for (int organisation = 0; organisation < organisations; organisation++) {
            text.append("  - {name: organisation-").append(organisation).append(", api_key_sha256: [");
            text.append(RequestKey.sha256("key-" + organisation)).append("]}\n");
        }
        budgets(text);
        return text.toString();
    }

    private void upstreams(StringBuilder text) {
        text.append("upstreams:\n");
        for (int upstream = 0; upstream < upstreams; upstream++) {
            text.append("  - {name: engine-").append(upstream).append(", type: model_engine, availability_zone: az-");
            text.append(upstream % 4).append(", address: \"http://127.0.0.1:9101\", checks_fencing: true}\n");
        }
    }

    private void service(StringBuilder text, int service) {
        text.append("  - {name: service-").append(service).append(", kind: interactive, upstreams: [engine-0");
        for (int upstream = 1; upstream < upstreams; upstream++) {
            text.append(", engine-").append(upstream);
        }
        text.append("], depends_on: [model/model-").append(service).append("], max_output_tokens: 500}\n");
    }

    private void budgets(StringBuilder text) {
        text.append("budgets:\n");
        for (int organisation = 0; organisation < organisations; organisation++) {
            for (int budget = 0; budget < budgetsPerOrganisation; budget++) {
                int service = budget % models;
                text.append("  - {name: budget-").append(budget).append(", organisation: organisation-");
                text.append(organisation)
                        .append(", services: [service-")
                        .append(service)
                        .append("]}\n");
            }
        }
    }
}
