/** Accounts for the memory that connections make a process hold, and chooses what to give up when it is used up. */
package io.jayhead.admission.memory;
