/** Charges what connections make the router hold to one account, and gives up holdings when it is exceeded. */
package io.jayhead.gateway.memory;
