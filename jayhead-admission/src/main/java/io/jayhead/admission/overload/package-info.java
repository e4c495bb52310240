/** Decides when a router turns callers to other routers because its VM is overloaded. */
package io.jayhead.admission.overload;
