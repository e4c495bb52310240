package io.jayhead.bench.measure;

/** Names a measured quantity. */
public enum Metric {
    /** Processor time of one operation. */
    PROCESSOR_NANOS("processor ns"),
    /** Bytes allocated by one operation. */
    ALLOCATED_BYTES("allocated B"),
    /** Heap held by a state. */
    RETAINED_BYTES("retained B"),
    /** Bytes of a message or of a stored object. */
    ENCODED_BYTES("encoded B");

    private final String label;

    Metric(String label) {
        this.label = label;
    }

    /**
     * Returns the heading of a table column.
     *
     * @return the quantity with its unit
     */
    public String label() {
        return label;
    }
}
