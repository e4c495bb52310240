/** Decides when a router sheds connections to other routers because its VM is overloaded. */
package io.jayhead.admission.overload;
