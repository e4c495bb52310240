/** Tests of the load tool. */
package io.jayhead.load.plan;
