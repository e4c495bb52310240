package io.jayhead.gateway.control;

import io.jayhead.admission.quarantine.PartCrashes;

/**
 * The record of a part of prompts as the platform holds it.
 *
 * @param crashes the upstreams that ended under the part
 * @param revision the revision of the last change
 */
public record StoredCrashes(PartCrashes crashes, long revision) {}
