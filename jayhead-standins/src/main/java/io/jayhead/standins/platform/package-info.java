/** Stand-in of the platform's object API and VM list. */
package io.jayhead.standins.platform;
