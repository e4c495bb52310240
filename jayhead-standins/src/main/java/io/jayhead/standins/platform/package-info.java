/** Stand-in for the platform: object API, VM list and rate limits. */
package io.jayhead.standins.platform;
