/** Decides on attempts, retries, resumption and verdicts; pure decision logic without I/O or clocks. */
package io.jayhead.dispatch;
