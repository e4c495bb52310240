/** Contract tests of the stand-ins. */
package io.jayhead.standins;
