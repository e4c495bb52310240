/** Renders reports as text, JSON and Markdown. */
package io.jayhead.load.report;
