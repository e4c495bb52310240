/** The path of a request from admission to settlement. */
package io.jayhead.daemon.request;
