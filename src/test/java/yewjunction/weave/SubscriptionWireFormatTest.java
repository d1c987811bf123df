package yewjunction.weave;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import yewjunction.base.GoldenBytes;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** States of replicas and their digests are read as release 0.1.0 wrote them. */
class SubscriptionWireFormatTest {
    static Map<Long, Panel> panels() {
        final Map<Long, Panel> panels = new LinkedHashMap<>();
        final Panel first = new Panel();
        first.observe(300);
        first.set("topic.a", "client-1", 5);
        first.set("topic.a", "client-2", 200);
        first.absence(7, Set.of("client-2"));
        panels.put(3L, first);
        final Panel second = new Panel();
        second.observe(1);
        second.set("topic.b", "client-1", 1);
        panels.put(70_000L, second);
        return panels;
    }

    @Test
    void digestsKeepTheirBytes() {
        final Map<Long, Long> digests = new LinkedHashMap<>();
        digests.put(3L, 0x0102030405060708L);
        digests.put(70_000L, -1L);
        GoldenBytes.assertUnchanged("digests.txt", Map.of("digests", Pattern.packMarks(digests)));
    }

    /** The deflated bytes may differ between releases of the JDK, so what is compared is what they hold. */
    @Test
    void statesAreReadAsTheyWereWritten() {
        final Map<Long, Panel> read = Pattern.unpack(GoldenBytes.recorded("states.txt", "states"));
        final Map<Long, Panel> expected = panels();
        assertEquals(expected.keySet(), read.keySet());
        expected.forEach((replica, panel) -> {
            assertEquals(panel.observed, read.get(replica).observed);
            assertEquals(panel.cells, read.get(replica).cells);
            assertEquals(panel.absenceNumber, read.get(replica).absenceNumber);
            assertEquals(panel.absent, read.get(replica).absent);
            assertEquals(panel.mark(), read.get(replica).mark());
        });
        assertEquals(expected.keySet(), Pattern.unpack(Pattern.pack(expected)).keySet());
    }
}
