package yewjunction.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Responses count once, and only from whom they were asked. */
class PendingRequestsTest {
  /** Any answers in any order: only what is open, of whom it was asked, and once. */
  @Test
  void onlyTheFirstResponseOfWhomWasAskedCounts() {
    final Random random = new Random(3);
    final PendingRequests<String, String> pendingRequests = new PendingRequests<>(5);
    final Map<Long, String> open = new HashMap<>();
    final List<Long> numbers = new ArrayList<>();
    int counted = 0;
    for (int turn = 0; turn < 20_000; turn++) {
      final String peer = "p" + random.nextInt(3);
      if (numbers.isEmpty() || random.nextInt(3) == 0) {
        final long number = pendingRequests.add(peer, "asked of " + peer);
        assertNull(open.put(number, peer), "number given twice");
        numbers.add(number);
        continue;
      }
      // Mostly one of the latest, or little would still be open.
      final long number =
          numbers.get(numbers.size() - 1 - random.nextInt(Math.min(12, numbers.size())));
      if (random.nextInt(8) == 0) {
        pendingRequests.cancel(number);
        open.remove(number);
      } else {
        final boolean due = peer.equals(open.get(number));
        assertEquals(due ? "asked of " + peer : null, pendingRequests.complete(number, peer));
        counted += due ? 1 : 0;
        open.remove(number, peer);
      }
      assertEquals(open.isEmpty(), pendingRequests.isEmpty());
    }
    assertTrue(counted > 1_000, "counted " + counted);
  }

  @Test
  void whatIsOverIsGivenUpTogether() {
    final PendingRequests<String, Integer> pendingRequests = new PendingRequests<>(5);
    final long first = pendingRequests.add("p", 1);
    final long second = pendingRequests.add("p", 2);
    assertEquals(List.of(1), pendingRequests.cancel(about -> about < 2));
    assertNull(pendingRequests.complete(first, "p"));
    assertEquals(2, pendingRequests.complete(second, "p"));
  }

  /**
   * Lives beside one another: they begin far apart, all over the range, and no number is long on
   * the wire.
   */
  @Test
  void livesBeginApart() {
    final List<Long> firsts = new ArrayList<>();
    for (long life = 0; life < 1_000; life++) {
      firsts.add(new PendingRequests<String, String>(life).add("p", ""));
    }
    firsts.sort(null);
    for (int at = 1; at < firsts.size(); at++) {
      assertTrue(firsts.get(at) - firsts.get(at - 1) > 1, "lives meet at " + firsts.get(at));
    }
    assertTrue(firsts.get(firsts.size() - 1) < 1L << 35, "longer than five bytes");
    assertTrue(firsts.get(250) < 1L << 33 && firsts.get(750) > 1L << 33, "not all over the range");
  }
}
