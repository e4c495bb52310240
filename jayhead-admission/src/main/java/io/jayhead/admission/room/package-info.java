/** Decides which requests of a service are admitted, wait or are refused when there is too little room. */
package io.jayhead.admission.room;
