/** HTTP server, fault handling and JSON conversion shared by the stand-ins. */
package io.jayhead.standins.http;
