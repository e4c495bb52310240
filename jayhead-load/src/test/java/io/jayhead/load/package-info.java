/** Tests the command lines of the load tool. */
package io.jayhead.load;
