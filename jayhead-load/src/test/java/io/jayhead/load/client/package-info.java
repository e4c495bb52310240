/** Tests the client for routers. */
package io.jayhead.load.client;
