/** Offline comparison of budget policies on the same arrivals. */
package io.jayhead.load.baseline;
