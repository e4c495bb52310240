/** The language of scenario files: who acts when, which part fails, and what must hold. */
package io.jayhead.scenarios.language;
