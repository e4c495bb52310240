package io.jayhead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an odd object of another writer that hides the others, or takes many times its size as memory. */
class JsonAnswersTest {

    private static final String SOUND = "{\"name\":\"a\",\"version\":7,\"body\":\"b\"}";
    private static final int MANY = 3_000_000;

    @Test
    void theObjectsOfAListAreRead() throws Exception {
        ListResult.Listed listed = JsonAnswers.list("{\"items\":[" + SOUND
                + ",{\"body\":\"\",\"more\":[{}],\"version\":1,\"name\":\"c\"}]," + "\"revision\":9}");
        assertEquals(9, listed.revision());
        assertEquals(List.of(new StoredObject("a", 7, "b"), new StoredObject("c", 1, "")), listed.objects());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{}",
                "{\"items\":[]}",
                "{\"revision\":9}",
                "{\"items\":{},\"revision\":9}",
                "{\"items\":[{}],\"revision\":9}",
                "{\"items\":[7],\"revision\":9}",
                "{\"items\":[" + SOUND + ",\"revision\":9}",
                "{\"items\":[" + SOUND + "]",
            })
    void anAnswerOfAnotherFormIsNoList(String body) {
        assertThrows(IOException.class, () -> JsonAnswers.list(body));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "[]", "\"f%d\""})
    void anObjectOfVeryManyValuesTakesLittleMoreThanItsText(String value) throws Exception {
        StringBuilder text = new StringBuilder("{\"items\":[{\"name\":\"a\",\"version\":7,\"body\":\"b\",\"odd\":[");
        for (int number = 0; number < MANY; number++) {
            text.append(number == 0 ? "" : ",").append(value.replace("%d", Integer.toString(number)));
        }
        String body = text.append("]}],\"revision\":9}").toString();
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        assertEquals(1, JsonAnswers.list(body).objects().size());
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertTrue(allocated < body.length(), allocated + " bytes for a text of " + body.length());
    }
}
