/** Stand-in for a model engine with continuous batching. */
package io.jayhead.standins.engine;
