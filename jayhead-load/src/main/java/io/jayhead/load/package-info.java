/** Open-loop load tool. */
package io.jayhead.load;
