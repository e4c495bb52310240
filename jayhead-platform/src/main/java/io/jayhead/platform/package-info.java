/** Client of the platform's object API: conditional writes, read-back after a lost reply, edits and health. */
package io.jayhead.platform;
