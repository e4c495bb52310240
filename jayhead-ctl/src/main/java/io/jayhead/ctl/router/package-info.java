/** Client of the operator interface of routers. */
package io.jayhead.ctl.router;
