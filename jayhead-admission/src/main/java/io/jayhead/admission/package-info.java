/** Decides on budgets, queues and configuration freshness, without threads, clocks or I/O. */
package io.jayhead.admission;
