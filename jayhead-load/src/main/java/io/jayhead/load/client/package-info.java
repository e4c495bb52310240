/** Caller side of the routers' interface. */
package io.jayhead.load.client;
