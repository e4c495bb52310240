/** End-to-end scenario tests that run router daemons and stand-ins as separate processes. */
package io.jayhead.scenarios;
