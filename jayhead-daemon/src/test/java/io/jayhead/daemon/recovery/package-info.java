/** Tests of the recovery from lost routers. */
package io.jayhead.daemon.recovery;
