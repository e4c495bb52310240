/** Protocol between routers: requests and replies as protobuf messages over TCP. */
package io.jayhead.peer;
