/** Tracks whether the configuration of a router is current, and when a new version is accepted by all routers. */
package io.jayhead.admission.freshness;
