package io.jayhead.settlement.charge;

import java.util.ArrayList;
import java.util.List;

/**
 * Queues the charges that are not part of the current write attempt; immutable.
 *
 * <p>Adding a charge shares the content of the previous queue instead of copying it, because the queue holds hours of
 * charges during an outage.
 */
final class PendingQueue {

    private static final PendingQueue EMPTY = new PendingQueue(List.of(), 0, null, 0);

    private final List<PendingCharge> front;
    private final int frontOffset;
    private final Node back;
    private final int backSize;

    private PendingQueue(List<PendingCharge> front, int frontOffset, Node back, int backSize) {
        this.front = front;
        this.frontOffset = frontOffset;
        this.back = back;
        this.backSize = backSize;
    }

    static PendingQueue empty() {
        return EMPTY;
    }

    int size() {
        return front.size() - frontOffset + backSize;
    }

    PendingQueue plus(PendingCharge charge) {
        return new PendingQueue(front, frontOffset, new Node(charge, back), backSize + 1);
    }

    PendingQueue prependAll(List<PendingCharge> charges) {
        List<PendingCharge> all = new ArrayList<>(charges);
        all.addAll(toList());
        return new PendingQueue(all, 0, null, 0);
    }

    PendingQueue withAllHeld() {
        return new PendingQueue(toList().stream().map(PendingCharge::asHeld).toList(), 0, null, 0);
    }

    List<PendingCharge> first(int count) {
        PendingQueue flattened = flattenedFor(count);
        int end = Math.min(flattened.front.size(), flattened.frontOffset + count);
        return List.copyOf(flattened.front.subList(flattened.frontOffset, end));
    }

    PendingQueue withoutFirst(int count) {
        PendingQueue flattened = flattenedFor(count);
        int offset = flattened.frontOffset + count;
        return offset >= flattened.front.size()
                ? new PendingQueue(List.of(), 0, flattened.back, flattened.backSize)
                : new PendingQueue(flattened.front, offset, flattened.back, flattened.backSize);
    }

    List<PendingCharge> toList() {
        List<PendingCharge> all = new ArrayList<>(front.subList(frontOffset, front.size()));
        PendingCharge[] reversed = new PendingCharge[backSize];
        int index = backSize;
        for (Node node = back; node != null; node = node.next()) {
            index--;
            reversed[index] = node.charge();
        }
        all.addAll(List.of(reversed));
        return all;
    }

    private PendingQueue flattenedFor(int count) {
        return front.size() - frontOffset >= count || backSize == 0 ? this : new PendingQueue(toList(), 0, null, 0);
    }

    private record Node(PendingCharge charge, Node next) {}
}
