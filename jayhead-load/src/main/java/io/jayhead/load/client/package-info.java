/** Client for the callers' interface of routers. */
package io.jayhead.load.client;
