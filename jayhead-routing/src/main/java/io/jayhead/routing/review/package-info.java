/** Reviews a version of the operators' configuration before it is sent, without input and output. */
package io.jayhead.routing.review;
