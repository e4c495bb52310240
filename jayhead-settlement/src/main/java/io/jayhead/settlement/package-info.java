/** State machines without I/O for charges, booking claims and the reclaim of grants. */
package io.jayhead.settlement;
