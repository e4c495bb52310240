/** Client of the demonstration. */
package io.jayhead.demo;
