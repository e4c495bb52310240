package io.jayhead.dispatch.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against events that are cut, merged or changed. This happens if the result depends on where the network splits
 * the stream, or if only one kind of line ending is recognised.
 */
class EventFramerTest {

    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: unfinished";

    @Property
    void eventsDoNotDependOnHowBytesArrive(@ForAll @IntRange(min = 1, max = 20) int chunkBytes) {
        EventFramer framer = new EventFramer();
        List<StreamEvent> events = new ArrayList<>();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int start = 0; start < bytes.length; start += chunkBytes) {
            int end = Math.min(bytes.length, start + chunkBytes);
            events.addAll(framer.add(java.util.Arrays.copyOfRange(bytes, start, end)));
        }
        assertEquals(List.of("1", "2"), events.stream().map(StreamEvent::id).toList());
        assertEquals("id: 3\ndata: unfinished", new String(framer.incompleteEvent(), StandardCharsets.UTF_8));
    }

    @Test
    void theBytesOfEventsAreKeptAsTheyCame() {
        List<StreamEvent> events = new EventFramer().add(STREAM.getBytes(StandardCharsets.UTF_8));
        assertEquals("id: 2\r\ndata: b\r\n\r\n", new String(events.get(1).bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void anIdentifierThatIsNoNumberIsKept() {
        StreamEvent event = new EventFramer()
                .add("id: a7\n\n".getBytes(StandardCharsets.UTF_8))
                .get(0);
        assertEquals("a7", event.id());
        assertEquals(true, event.numericId().isEmpty());
    }

    /** A router that takes this stream for one that ends inside an event would break a complete answer off. */
    @Property
    void aCarriageReturnAloneEndsALineToo(@ForAll @IntRange(min = 1, max = 20) int chunkBytes) {
        String text = "id: 1\rdata: a\r\rid: 2\r\ndata: b\r\n\r\nid: 3\rdata: c\r\r";
        EventFramer framer = new EventFramer();
        List<StreamEvent> events = new ArrayList<>();
        for (int start = 0; start < text.length(); start += chunkBytes) {
            String piece = text.substring(start, Math.min(text.length(), start + chunkBytes));
            events.addAll(framer.add(piece.getBytes(StandardCharsets.UTF_8)));
        }
        framer.end().ifPresent(events::add);
        assertEquals(
                List.of("1", "2", "3"), events.stream().map(StreamEvent::id).toList());
        assertEquals(0, framer.incompleteEvent().length);
    }

    @Test
    void aLineThatEndsWithACarriageReturnEndsNoEvent() {
        EventFramer framer = new EventFramer();
        framer.add("id: 1\rdata: a\r".getBytes(StandardCharsets.UTF_8));
        assertTrue(framer.end().isEmpty());
        assertEquals("id: 1\rdata: a\r", new String(framer.incompleteEvent(), StandardCharsets.UTF_8));
    }

    @Test
    void anEventWithoutEndIsNotKeptBeyondTheLimit() {
        EventFramer framer = new EventFramer();
        byte[] piece = new byte[8_192];
        for (int index = 0; index < 100; index++) {
            framer.add(piece);
        }
        assertTrue(framer.isTooLong());
        assertEquals(EventFramer.MAX_EVENT_BYTES, framer.incompleteEvent().length);
    }
}
