/** Stand-in of a model engine with continuous batching. */
package io.jayhead.standins.engine;
