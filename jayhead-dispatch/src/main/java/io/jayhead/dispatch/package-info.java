/** Pure decision logic for attempts, retries, resumption and verdicts. */
package io.jayhead.dispatch;
