/** Client of the HTTP interface that routers offer to operators. */
package io.jayhead.ctl.router;
