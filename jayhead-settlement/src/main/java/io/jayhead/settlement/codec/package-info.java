/** Text format shared by the objects of the settlement stage. */
package io.jayhead.settlement.codec;
