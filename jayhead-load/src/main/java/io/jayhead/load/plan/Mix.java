package io.jayhead.load.plan;

import io.jayhead.model.RequestKind;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** Lists the request mixes of the two users. */
public enum Mix {
    /** Long generations dominate the tokens, labels and questions the requests. */
    USER1(
            12,
            7,
            RequestShape.generation(
                    RequestKind.LONG_GENERATION, "plan", 35, IntRange.of(300, 900), IntRange.of(400, 800), true),
            RequestShape.generation(
                    RequestKind.INTERACTIVE, "ask", 30, IntRange.of(20, 80), IntRange.of(30, 120), true),
            RequestShape.generation(RequestKind.SUMMARY, "label", 20, IntRange.of(30, 120), IntRange.of(5, 20), false),
            RequestShape.plain(RequestKind.BOOKING, "desk", 8),
            RequestShape.plain(RequestKind.STATUS_READ, "desk-status", 7)),
    /** Short questions and bookings dominate the requests. */
    USER2(
            8,
            6,
            RequestShape.generation(
                    RequestKind.LONG_GENERATION, "digest", 15, IntRange.of(400, 900), IntRange.of(400, 800), true),
            RequestShape.generation(
                    RequestKind.INTERACTIVE, "ask", 45, IntRange.of(15, 60), IntRange.of(20, 100), true),
            RequestShape.generation(
                    RequestKind.SUMMARY, "summary", 15, IntRange.of(100, 300), IntRange.of(40, 100), false),
            RequestShape.plain(RequestKind.BOOKING, "order", 13),
            RequestShape.plain(RequestKind.STATUS_READ, "order-status", 12));

    /** Both users have three booking services, each of which knows only its own bookings. */
    public static final int BOOKING_SERVICES = 3;

    /** The charge of one booking; small next to a generation. */
    public static final int BOOKING_PRICE_TOKENS = 5;

    /** Pays generations. */
    public static final String GENERATIONS_BUDGET = "main";

    /**
     * Pays bookings. Booking services do not check fencing, and a grant of a lost router can be reclaimed only if all
     * upstreams of its budget do.
     */
    public static final String BOOKINGS_BUDGET = "bookings";

    private static final int ORGANISATIONS = 10;

    private final int engines;
    private final int routers;
    private final List<RequestShape> shapes;

    Mix(int engines, int routers, RequestShape... shapes) {
        this.engines = engines;
        this.routers = routers;
        this.shapes = List.of(shapes);
    }

    /**
     * Finds a mix by its name on the command line.
     *
     * @param text the name
     * @return the mix
     * @throws IllegalArgumentException if there is none
     */
    public static Mix parse(String text) {
        return Arrays.stream(values())
                .filter(mix -> mix.text().equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("mix must be user1 or user2: " + text));
    }

    /**
     * Returns the name on the command line.
     *
     * @return the name
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the number of engines of the user today.
     *
     * @return engines
     */
    public int engines() {
        return engines;
    }

    /**
     * Returns the number of routers of the user today.
     *
     * @return routers
     */
    public int routers() {
        return routers;
    }

    /**
     * Returns the request shapes, whose shares add up to 100.
     *
     * @return the shapes
     */
    public List<RequestShape> shapes() {
        return shapes;
    }

    /**
     * Returns the names of the organisations, the largest first.
     *
     * @return the names
     */
    public List<String> organisations() {
        return IntStream.rangeClosed(1, ORGANISATIONS)
                .mapToObj(index -> "org-" + index)
                .toList();
    }
}
