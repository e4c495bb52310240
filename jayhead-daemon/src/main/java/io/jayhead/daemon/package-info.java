/** The router daemon. */
package io.jayhead.daemon;
