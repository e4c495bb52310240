/** Pure decision logic for budgets, queues and configuration freshness. */
package io.jayhead.admission;
