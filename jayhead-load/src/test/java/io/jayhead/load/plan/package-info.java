/** Tests the request plan. */
package io.jayhead.load.plan;
