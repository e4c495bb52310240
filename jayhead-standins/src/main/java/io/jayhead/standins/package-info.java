/** Stand-ins for the platform, a model engine and a booking service. */
package io.jayhead.standins;
