/** Protocol between routers. */
package io.jayhead.peer;
