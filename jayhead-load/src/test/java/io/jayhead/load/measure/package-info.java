/** Tests the measures of a run. */
package io.jayhead.load.measure;
