/** Line format shared by the platform objects that hold charges, checkpoints and booking claims. */
package io.jayhead.settlement.codec;
