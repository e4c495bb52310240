/** Budget ledgers, the token accounts of a router, and the sizing of grants. */
package io.jayhead.admission.budget;
