package io.jayhead.settlement.charge;

import java.util.ArrayList;
import java.util.List;

/**
 * Queues pending charges; immutable.
 *
 * <p>Adding shares the earlier content, because in an outage the queue holds hours of charges.
 */
final class PendingQueue {

    private static final PendingQueue EMPTY = new PendingQueue(List.of(), 0, null, 0);

    private final List<PendingCharge> front;
    private final int frontOffset;
    private final Cell back;
    private final int backSize;

    private PendingQueue(List<PendingCharge> front, int frontOffset, Cell back, int backSize) {
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
        return new PendingQueue(front, frontOffset, new Cell(charge, back), backSize + 1);
    }

    PendingQueue plusFirst(List<PendingCharge> charges) {
        List<PendingCharge> all = new ArrayList<>(charges);
        all.addAll(toList());
        return new PendingQueue(all, 0, null, 0);
    }

    PendingQueue allHeld() {
        return new PendingQueue(toList().stream().map(PendingCharge::asHeld).toList(), 0, null, 0);
    }

    List<PendingCharge> first(int count) {
        PendingQueue flat = flatFor(count);
        int end = Math.min(flat.front.size(), flat.frontOffset + count);
        return List.copyOf(flat.front.subList(flat.frontOffset, end));
    }

    PendingQueue without(int count) {
        PendingQueue flat = flatFor(count);
        int offset = flat.frontOffset + count;
        return offset >= flat.front.size()
                ? new PendingQueue(List.of(), 0, flat.back, flat.backSize)
                : new PendingQueue(flat.front, offset, flat.back, flat.backSize);
    }

    List<PendingCharge> toList() {
        List<PendingCharge> all = new ArrayList<>(front.subList(frontOffset, front.size()));
        PendingCharge[] reversed = new PendingCharge[backSize];
        int index = backSize;
        for (Cell cell = back; cell != null; cell = cell.next()) {
            index--;
            reversed[index] = cell.charge();
        }
        all.addAll(List.of(reversed));
        return all;
    }

    private PendingQueue flatFor(int count) {
        return front.size() - frontOffset >= count || backSize == 0 ? this : new PendingQueue(toList(), 0, null, 0);
    }

    private record Cell(PendingCharge charge, Cell next) {}
}
