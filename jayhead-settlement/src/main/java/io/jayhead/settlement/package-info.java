/** Pure decision logic for charges, booking claims and reclaim. */
package io.jayhead.settlement;
