/** HTTP clients with which scenarios act as callers and operators and query the stand-ins. */
package io.jayhead.scenarios.client;
