/** Reservations of prepaid tokens for the requests of this router. */
package io.jayhead.gateway.budget;
