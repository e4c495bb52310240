/** Records decisions and metrics for operators. */
package io.jayhead.daemon.observe;
