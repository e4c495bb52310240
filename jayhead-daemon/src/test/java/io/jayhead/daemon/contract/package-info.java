/** Contract tests of the daemon's interfaces against in-process stand-ins. */
package io.jayhead.daemon.contract;
