package io.jayhead.load.plan;

import io.jayhead.model.RequestKind;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** Defines the request mixes and fleet sizes of the two users. */
public enum Mix {
    /** Long generations use most of the tokens; labels and questions are half of the requests. */
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

    /** Number of booking services in the fleet of each user. They share no state: each stores only its own bookings. */
    public static final int BOOKING_SERVICES = 3;

    /** Price of one booking; far below the cost of a generation. */
    public static final int BOOKING_PRICE_TOKENS = 5;

    /** Name of the budget that pays for generations. */
    public static final String GENERATIONS_BUDGET = "main";

    /**
     * Name of the budget that pays for bookings. Booking services do not check fencing, and the grant of a lost router
     * can be reclaimed only if every upstream of the budget checks it. A separate budget keeps the grants for
     * generations reclaimable.
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
     * Returns the mix with a command-line name.
     *
     * @param text the name, in lower case
     * @return the mix
     * @throws IllegalArgumentException if no mix has this name
     */
    public static Mix parse(String text) {
        return Arrays.stream(values())
                .filter(mix -> mix.text().equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("mix must be user1 or user2: " + text));
    }

    /**
     * Returns the name on the command line and in reports.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the number of engines in the current fleet of the user.
     *
     * @return the number of engines
     */
    public int engines() {
        return engines;
    }

    /**
     * Returns the number of routers in the current fleet of the user.
     *
     * @return the number of routers
     */
    public int routers() {
        return routers;
    }

    /**
     * Returns the request shapes of this mix.
     *
     * @return the shapes; their shares add up to 100 percent
     */
    public List<RequestShape> shapes() {
        return shapes;
    }

    /**
     * Returns the names of the organisations that send requests.
     *
     * @return the names, the organisation with the most requests first
     */
    public List<String> organisations() {
        return IntStream.rangeClosed(1, ORGANISATIONS)
                .mapToObj(index -> "org-" + index)
                .toList();
    }
}
