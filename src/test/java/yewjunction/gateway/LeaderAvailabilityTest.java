package yewjunction.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import yewjunction.limits.ClientLimits;

/** When an edge sends to the leading store, and when it gives up on it. */
class LeaderAvailabilityTest {
  private final LeaderAvailability availability = new LeaderAvailability(new Random(1));

  @Test
  void backoffGrowsToItsBoundAndBeginsAnewAfterAResponse() {
    for (long boundMs = ClientLimits.MIN_PUBLISH_BACKOFF_MS;
        boundMs < ClientLimits.MAX_PUBLISH_BACKOFF_MS;
        boundMs *= 2) {
      assertBacksOffBetween(boundMs, 2 * boundMs);
    }
    final long mostMs = ClientLimits.MAX_PUBLISH_BACKOFF_MS;
    assertBacksOffBetween(mostMs, 2 * mostMs);
    assertBacksOffBetween(mostMs, 2 * mostMs);
    availability.onResponse();
    final long leastMs = ClientLimits.MIN_PUBLISH_BACKOFF_MS;
    assertBacksOffBetween(leastMs, 2 * leastMs);
  }

  private void assertBacksOffBetween(final long leastMs, final long belowMs) {
    final long nowMs = 10_000;
    final long delayMs = availability.backOff(nowMs);
    assertTrue(leastMs <= delayMs && delayMs < belowMs, delayMs + " ms");
    assertTrue(availability.isBackingOff(nowMs + delayMs - 1));
    assertFalse(availability.isBackingOff(nowMs + delayMs));
  }

  @Test
  void aNewLeaderMayBeAskedAtOnce() {
    availability.backOff(10_000);
    availability.onLeaderChange();
    assertFalse(availability.isBackingOff(10_000));
  }

  @Test
  void withoutAResponseTheLeaderIsUnreachableUntilAStoreKnowsOne() {
    final long lastMs = 10_000 + ClientLimits.LEADER_UNREACHABLE_AFTER_MS;
    availability.onWaiting(10_000);
    availability.onWaiting(11_000);
    assertFalse(availability.checkUnreachable(lastMs));
    assertTrue(availability.checkUnreachable(lastMs + 1));
    assertFalse(availability.checkUnreachable(lastMs + 2), "said twice");
    assertTrue(availability.isUnreachable());
    assertTrue(availability.onLeaderReported());
    assertFalse(availability.isUnreachable());
  }

  @Test
  void aReportOfALeaderThatWasReachableAnywayDoesNotCountAsAResponse() {
    availability.onWaiting(10_000);
    assertFalse(availability.onLeaderReported());
    assertTrue(availability.checkUnreachable(10_001 + ClientLimits.LEADER_UNREACHABLE_AFTER_MS));
  }
}
