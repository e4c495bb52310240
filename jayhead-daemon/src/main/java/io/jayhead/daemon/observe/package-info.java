/** Decision log and metrics. */
package io.jayhead.daemon.observe;
