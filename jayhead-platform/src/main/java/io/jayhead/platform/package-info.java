/** Client of the platform object API and VM list. */
package io.jayhead.platform;
