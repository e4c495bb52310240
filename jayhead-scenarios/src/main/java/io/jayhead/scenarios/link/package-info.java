/** Relays between processes, whose links can be cut, silenced and healed. */
package io.jayhead.scenarios.link;
