package io.jayhead.gateway.edge;

/** Is notified of the heads of requests that arrive in parts. */
interface HeadListener {

    /** Ignores all heads. */
    HeadListener NONE = new HeadListener() {
        @Override
        public boolean isHeadPending() {
            return false;
        }

        @Override
        public void headBegun() {
            // Nothing limits these heads.
        }
    };

    /** Tells whether the next bytes belong to a head. */
    boolean isHeadPending();

    /** Records that a part of a head may have arrived. */
    void headBegun();
}
