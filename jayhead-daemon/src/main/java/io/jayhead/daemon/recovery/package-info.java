/** Detects lost routers and reclaims their grants. */
package io.jayhead.daemon.recovery;
