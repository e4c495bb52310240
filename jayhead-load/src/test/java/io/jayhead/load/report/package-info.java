/** Tests the reports. */
package io.jayhead.load.report;
