/** Tests the audit of a run. */
package io.jayhead.load.audit;
