/** Sends the requests of the demonstration and checks the answers. */
package io.jayhead.demo;
