/** Text and JSON form of the measures. */
package io.jayhead.load.report;
