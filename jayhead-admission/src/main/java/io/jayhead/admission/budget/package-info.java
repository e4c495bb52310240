/** Budget ledger, grants held by a router and the sizing of grants. */
package io.jayhead.admission.budget;
