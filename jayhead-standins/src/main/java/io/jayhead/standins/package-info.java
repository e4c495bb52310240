/** Command line of the stand-ins, which simulate the platform, a model engine or a booking service in tests. */
package io.jayhead.standins;
