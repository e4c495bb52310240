/** Tests the comparison of budget policies. */
package io.jayhead.load.baseline;
