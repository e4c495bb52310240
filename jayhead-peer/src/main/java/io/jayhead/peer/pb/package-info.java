/** Generated protobuf classes of the peer protocol; generated from peer.proto by protoc 33.5 and committed. */
package io.jayhead.peer.pb;
