/** Pure decision logic that chooses an upstream. */
package io.jayhead.routing;
