/** HTTP server, exchanges and JSON shared by the stand-ins. */
package io.jayhead.standins.http;
