package yewjunction.common;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The operators' alarms know events by number: none changes, and none is given again. */
class EventNumbersTest {
  private static final List<Integer> RELEASED =
      List.of(
          100, 101, 102, 103, 104, 105, 106, 200, 201, 203, 300, 301, 302, 400, 401, 403, 404, 405,
          406, 407, 409, 410, 411, 412, 500, 501, 502, 503, 504, 505, 506, 507, 508, 509, 510, 511,
          600, 601, 602, 603, 604, 605, 700, 701, 702, 800, 801, 802, 803, 804, 805, 806, 807, 808,
          809);

  @Test
  void theNumbersAreThoseOfTheFirstRelease() {
    assertEquals(
        new TreeSet<>(RELEASED),
        new TreeSet<>(Arrays.stream(LogEvent.values()).map(LogEvent::number).toList()));
    assertEquals(RELEASED.size(), LogEvent.values().length);
  }
}
