package io.jayhead.bench.measure;

/** Lists the measured quantities. */
public enum Metric {
    /** Processor time of one operation. */
    PROCESSOR_NANOS("processor ns"),
    /** Bytes allocated by one operation. */
    ALLOCATED_BYTES("allocated B"),
    /** Heap bytes that a state keeps alive. */
    RETAINED_BYTES("retained B"),
    /** Encoded size of a message or of a stored object. */
    ENCODED_BYTES("encoded B");

    private final String label;

    Metric(String label) {
        this.label = label;
    }

    /**
     * Returns the heading of the table column.
     *
     * @return the quantity with its unit
     */
    public String label() {
        return label;
    }
}
