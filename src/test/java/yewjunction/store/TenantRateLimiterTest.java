package yewjunction.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.control.Configuration;

/** No window holds more than a tenant may send, also across changes of the leader. */
class TenantRateLimiterTest {
  private static final Configuration CHARTER =
      Configuration.read(
          "{\"Ver\":1,\"Tenants\":[{\"Name\":\"t\",\"Apikeys\":[\"k\"],\"RatePerS\":30,\"Burst\":30}]}");
  private static final double MOST = (30 * 5 + 30) * 1.1 + 20;

  private static TenantRateLimiter quotas(final long nowMs) {
    final TenantRateLimiter rateLimiter = new TenantRateLimiter(5, 0.1, 20, nowMs);
    rateLimiter.setConfiguration(CHARTER);
    return rateLimiter;
  }

  /**
   * A greedy tenant, a leader that restarts or changes at random: no window holds more than the
   * rule allows.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void noWindowHoldsMoreThanTheRuleAllows(final long seed) {
    final Random random = new Random(seed);
    final List<Long> taken = new ArrayList<>();
    TenantRateLimiter leader = quotas(0);
    TenantRateLimiter follower = quotas(0);
    long changedMs = 0;
    for (long nowMs = 20_000; nowMs < 60_000; nowMs += 2) {
      if (leader.tryAcquire("t", nowMs)) {
        taken.add(nowMs);
        follower.recordAcceptedElsewhere("t", nowMs + random.nextInt(20));
      }
      // One change a window: more unsettle the control group for far longer.
      if (nowMs - changedMs > 5_500 && random.nextInt(1_000) == 0) {
        changedMs = nowMs;
        final TenantRateLimiter old = leader;
        leader = follower;
        follower = random.nextBoolean() ? old : quotas(nowMs);
        if (random.nextInt(3) == 0) {
          leader = quotas(nowMs);
        }
      }
    }
    for (int first = 0; first < taken.size(); first++) {
      int count = 0;
      for (int at = first; at < taken.size() && taken.get(at) < taken.get(first) + 5_000; at++) {
        count++;
      }
      assertTrue(count <= MOST, count + " from " + taken.get(first));
    }
    assertTrue(taken.size() >= 30 * 40 * 0.97, "only " + taken.size());
  }

  @Test
  void aMessageWithoutTenantIsFreeAndOneOfAGoneTenantIsDenied() {
    final TenantRateLimiter rateLimiter = quotas(0);
    assertTrue(rateLimiter.tryAcquire("", 1));
    assertFalse(rateLimiter.tryAcquire("gone", 1));
  }

  @Test
  void aTenantBelowItsLimitIsNeverDeniedEvenRightAfterAStart() {
    final TenantRateLimiter rateLimiter = quotas(0);
    int denied = 0;
    for (long nowMs = 10; nowMs < 20_000; nowMs += 40) {
      denied += rateLimiter.tryAcquire("t", nowMs) ? 0 : 1;
    }
    assertEquals(0, denied);
  }
}
