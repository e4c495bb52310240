/** The course of one request from its arrival to its settlement. */
package io.jayhead.gateway.exchange;
