package io.jayhead.gateway.edge;

/** Is notified of bytes that may belong to the head of a request. */
interface HeadListener {

    /** Ignores all bytes. */
    HeadListener NONE = new HeadListener() {
        @Override
        public void arriving(boolean blank) {
            // Nothing limits these heads.
        }

        @Override
        public void decoded(boolean kept) {
            // Nothing limits these heads.
        }
    };

    /**
     * Records bytes that are about to be decoded.
     *
     * @param blank whether there are only line ends, which callers may send between two requests
     */
    void arriving(boolean blank);

    /**
     * Records that these bytes have been decoded.
     *
     * @param kept whether the decoder keeps some of them until it has the rest of a line
     */
    void decoded(boolean kept);
}
