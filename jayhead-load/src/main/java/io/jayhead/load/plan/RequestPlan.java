package io.jayhead.load.plan;

import io.jayhead.model.RequestKind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Draws all requests of a run before it starts. */
public final class RequestPlan {

    private static final long NS_PER_MS = 1_000_000;
    private static final long NS_PER_SECOND = 1_000_000_000;

    /** Minimum age of a booking that is read; by then it is normally answered, so that the status read finds it. */
    private static final long STATUS_DELAY_NS = 2 * NS_PER_SECOND;

    /** Delay range of retries; it covers requests still in progress and requests that have ended. */
    private static final IntRange RETRY_DELAY_MS = IntRange.of(50, 3_000);

    private static final int VOCABULARY_SIZE = 5_000;

    private final PlanSettings settings;
    private final ArrivalProcess arrivals;
    private final SplittableRandom random;
    private final WeightedChoice<RequestShape> shapes;
    private final WeightedChoice<String> organisations;
    private final RequestShape bookingShape;
    private final Deque<PlannedRequest> recentBookings = new ArrayDeque<>();
    private final List<PlannedRequest> readableBookings = new ArrayList<>();
    private int nextKeyNumber;

    private RequestPlan(PlanSettings settings) {
        this.settings = settings;
        this.arrivals = new ArrivalProcess(settings.seed(), settings.ratePerSecond());
        this.random = new SplittableRandom(~settings.seed());
        this.shapes = WeightedChoice.of(settings.mix().shapes(), RequestShape::sharePercent);
        this.organisations = WeightedChoice.zipf(settings.mix().organisations());
        this.bookingShape = settings.mix().shapes().stream()
                .filter(shape -> shape.kind() == RequestKind.BOOKING)
                .findFirst()
                .orElseThrow();
    }

    /**
     * Draws the requests of a run.
     *
     * @param settings the settings; equal settings give an equal plan
     * @return the requests in the order of their planned arrival
     */
    public static List<PlannedRequest> of(PlanSettings settings) {
        return new RequestPlan(settings).draw();
    }

    private List<PlannedRequest> draw() {
        List<PlannedRequest> requests = new ArrayList<>();
        long endNs = settings.durationS() * NS_PER_SECOND;
        for (long atNs = arrivals.nextNs(); atNs < endNs; atNs = arrivals.nextNs()) {
            PlannedRequest request = next(atNs);
            requests.add(request);
            if (random.nextDouble() < settings.retryShare() && request.kind() != RequestKind.STATUS_READ) {
                long delayNs = RETRY_DELAY_MS.draw(random) * NS_PER_MS;
                requests.add(request.retryAt(atNs + delayNs, otherRouter(request.router())));
            }
        }
        requests.sort(Comparator.comparingLong(PlannedRequest::arrivalNs));
        return requests;
    }

    private PlannedRequest next(long atNs) {
        RequestShape shape = shapes.draw(random);
        int router = random.nextInt(settings.routers());
        if (shape.kind() == RequestKind.STATUS_READ) {
            return statusRead(atNs, shape, router);
        }
        String organisation = organisations.draw(random);
        if (shape.kind() == RequestKind.BOOKING) {
            return booking(atNs, organisation, router);
        }
        String prompt = prompt(shape.promptWords().draw(random));
        int maxTokens = shape.outputTokens().draw(random);
        return new PlannedRequest(
                atNs, shape, organisation, shape.service(), router, newKey(), prompt, maxTokens, false);
    }

    /** Creates a read of an earlier booking, or a new booking if none is old enough to be read. */
    private PlannedRequest statusRead(long atNs, RequestShape shape, int router) {
        while (!recentBookings.isEmpty() && recentBookings.peek().arrivalNs() + STATUS_DELAY_NS <= atNs) {
            readableBookings.add(recentBookings.poll());
        }
        if (readableBookings.isEmpty()) {
            return booking(atNs, organisations.draw(random), router);
        }
        PlannedRequest earlierBooking = readableBookings.get(random.nextInt(readableBookings.size()));
        String serviceSuffix =
                earlierBooking.service().substring(earlierBooking.service().lastIndexOf('-'));
        return new PlannedRequest(
                atNs,
                shape,
                earlierBooking.organisation(),
                shape.service() + serviceSuffix,
                router,
                earlierBooking.key(),
                "",
                0,
                false);
    }

    private PlannedRequest booking(long atNs, String organisation, int router) {
        String service = bookingShape.service() + "-" + (1 + random.nextInt(Mix.BOOKING_SERVICES));
        PlannedRequest request =
                new PlannedRequest(atNs, bookingShape, organisation, service, router, newKey(), "", 0, false);
        recentBookings.add(request);
        return request;
    }

    private String newKey() {
        return "load-" + Long.toHexString(settings.seed()) + "-" + nextKeyNumber++;
    }

    private int otherRouter(int router) {
        if (settings.routers() == 1) {
            return router;
        }
        return (router + 1 + random.nextInt(settings.routers() - 1)) % settings.routers();
    }

    private String prompt(int words) {
        return IntStream.range(0, words)
                .mapToObj(index -> Integer.toString(random.nextInt(VOCABULARY_SIZE), Character.MAX_RADIX))
                .collect(Collectors.joining(" "));
    }
}
