/** TCP relays between processes, whose links can be cut, silenced, delayed and healed. */
package io.jayhead.scenarios.link;
