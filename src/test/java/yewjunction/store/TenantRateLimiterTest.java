package yewjunction.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.control.Configuration;

/** No window holds more than a tenant may send, also across changes of the leader. */
class TenantRateLimiterTest {
  private static final Configuration CONFIGURATION =
      Configuration.read(
          "{\"Ver\":1,\"Tenants\":[{\"Name\":\"t\",\"Apikeys\":[\"k\"],\"RatePerS\":30,\"Burst\":30}]}");
  private static final double MAX_IN_WINDOW = (30 * 5 + 30) * 1.1 + 20;

  private static TenantRateLimiter startedAt(final long nowMs) {
    final TenantRateLimiter rateLimiter = new TenantRateLimiter(5, 0.1, 20, nowMs);
    rateLimiter.setConfiguration(CONFIGURATION);
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
    TenantRateLimiter leader = startedAt(0);
    TenantRateLimiter follower = startedAt(0);
    long changedMs = 0;
    for (long nowMs = 20_000; nowMs < 60_000; nowMs += 2) {
      if (leader.tryAcquire("t", 0, nowMs)) {
        taken.add(nowMs);
        follower.recordAcceptedElsewhere("t", nowMs + random.nextInt(20));
      }
      // One change a window: more unsettle the control group for far longer.
      if (nowMs - changedMs > 5_500 && random.nextInt(1_000) == 0) {
        changedMs = nowMs;
        final TenantRateLimiter old = leader;
        leader = follower;
        follower = random.nextBoolean() ? old : startedAt(nowMs);
        if (random.nextInt(3) == 0) {
          leader = startedAt(nowMs);
        }
      }
    }
    assertWindowsHold(taken, MAX_IN_WINDOW);
    assertTrue(taken.size() >= 30 * 40 * 0.97, "only " + taken.size());
  }

  private static void assertWindowsHold(final List<Long> takenMs, final double maxInWindow) {
    for (int first = 0; first < takenMs.size(); first++) {
      int count = 0;
      for (int at = first;
          at < takenMs.size() && takenMs.get(at) < takenMs.get(first) + 5_000;
          at++) {
        count++;
      }
      assertTrue(count <= maxInWindow, count + " from " + takenMs.get(first));
    }
  }

  /** One message of a tenant that sends more than it may: when it was sent, when it came. */
  private record Held(long sentMs, long arrivedMs) {}

  /**
   * A rush of six seconds every eight, one message in three milliseconds, held by their edges for a
   * span that changes again and again.
   */
  private static List<Held> heldMessages(final Random random) {
    final List<Held> messages = new ArrayList<>();
    long changesMs = 0;
    long heldMs = 0;
    for (long sentMs = 20_000; sentMs < 100_000; sentMs += 3) {
      if (sentMs > changesMs) {
        changesMs = sentMs + 300 + random.nextInt(2_000);
        heldMs = random.nextBoolean() ? 0 : random.nextInt(750);
      }
      if (sentMs % 8_000 < 6_000) {
        messages.add(new Held(sentMs, sentMs + heldMs));
      }
    }
    messages.sort(Comparator.comparingLong(Held::arrivedMs));
    return messages;
  }

  /**
   * Guards against: messages that edges held while a store was slow were sent in one window and
   * charged to the next one as well, so that a tenant passed 371 of 370.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void messagesThatEdgesHeldCountWhenTheyWereSent(final long seed) {
    final TenantRateLimiter rateLimiter = new TenantRateLimiter(5, 0.1, 20, 0);
    rateLimiter.setConfiguration(
        Configuration.read(
            "{\"Ver\":1,\"Tenants\":[{\"Name\":\"t\",\"Apikeys\":[\"k\"],\"RatePerS\":100,\"Burst\":100}]}"));
    final List<Long> accepted = new ArrayList<>();
    for (final Held one : heldMessages(new Random(seed))) {
      if (rateLimiter.tryAcquire("t", one.arrivedMs - one.sentMs, one.arrivedMs)) {
        accepted.add(one.sentMs);
      }
    }
    accepted.sort(Comparator.naturalOrder());
    assertWindowsHold(accepted, (100 * 5 + 100) * 1.1 + 20);
    assertTrue(accepted.size() >= 100 * 60 * 0.97, "only " + accepted.size());
  }

  @Test
  void aMessageWithoutTenantIsFreeAndOneOfAGoneTenantIsDenied() {
    final TenantRateLimiter rateLimiter = startedAt(0);
    assertTrue(rateLimiter.tryAcquire("", 0, 1));
    assertFalse(rateLimiter.tryAcquire("gone", 0, 1));
  }

  @Test
  void aTenantBelowItsLimitIsNeverDeniedEvenRightAfterAStart() {
    final TenantRateLimiter rateLimiter = startedAt(0);
    int denied = 0;
    for (long nowMs = 10; nowMs < 20_000; nowMs += 40) {
      denied += rateLimiter.tryAcquire("t", 0, nowMs) ? 0 : 1;
    }
    assertEquals(0, denied);
  }

  /** Tokens that an account would start with. */
  private static double tokens(final TenantRateLimiter rateLimiter, final long nowMs) {
    return (double) rateLimiter.borrowingTerms(CONFIGURATION.tenant("t"), nowMs).firstTokens
        / BorrowingAccount.THOUSANDTHS;
  }

  private static void removeTenant(final TenantRateLimiter rateLimiter) {
    rateLimiter.setConfiguration(Configuration.read("{\"Ver\":2}"));
  }

  /** Guards against: what an account held at its end was forgotten while its tenant was gone. */
  @Test
  void aTenantThatIsRemovedContinuesWithWhatItsAccountHeld() {
    final TenantRateLimiter rateLimiter = startedAt(0);
    assertEquals(30 + 0.35 * 38, tokens(rateLimiter, 20_000), 0.001);
    removeTenant(rateLimiter);
    rateLimiter.continueFrom("t", 2L * BorrowingAccount.THOUSANDTHS, 7_000, 21_000);
    rateLimiter.setConfiguration(CONFIGURATION);
    // Two tokens, and half a second of the rate.
    assertEquals(17, tokens(rateLimiter, 21_500), 0.001);
  }

  /** Guards against: the same at a store that has no bucket, since another one led. */
  @Test
  void aStoreThatNeverCountedForItContinuesTooWithWhatItsAccountHeld() {
    final TenantRateLimiter rateLimiter = startedAt(0);
    removeTenant(rateLimiter);
    rateLimiter.continueFrom("t", 0, 7_000, 21_000);
    rateLimiter.setConfiguration(CONFIGURATION);
    assertEquals(0, tokens(rateLimiter, 21_000), 0.001);
  }

  /** Guards against: an end that comes by the log takes back what was spent since the proposal. */
  @Test
  void anEndThatIsToldTwiceCountsOnce() {
    final TenantRateLimiter rateLimiter = startedAt(0);
    rateLimiter.continueFrom("t", 2L * BorrowingAccount.THOUSANDTHS, 7_000, 21_000);
    assertTrue(rateLimiter.tryAcquire("t", 0, 21_000));
    rateLimiter.continueFrom("t", 2L * BorrowingAccount.THOUSANDTHS, 7_000, 21_000);
    assertEquals(1, tokens(rateLimiter, 21_000), 0.001);
    rateLimiter.continueFrom("t", 5L * BorrowingAccount.THOUSANDTHS, 8_000, 21_000);
    assertEquals(5, tokens(rateLimiter, 21_000), 0.001);
  }

  /** Guards against: an end that was proposed and lost hides a real one of an earlier log time. */
  @Test
  void anEndThatWasOnlyProposedIsForgottenWithItsLeader() {
    final TenantRateLimiter rateLimiter = startedAt(0);
    rateLimiter.continueFrom("t", 9L * BorrowingAccount.THOUSANDTHS, 7_000, 21_000);
    rateLimiter.onLeaderChange();
    rateLimiter.continueFrom("t", 2L * BorrowingAccount.THOUSANDTHS, 6_900, 21_000);
    assertEquals(2, tokens(rateLimiter, 21_000), 0.001);
  }

  /** Guards against: messages that are applied after their tenant's removal were not counted. */
  @Test
  void whatIsAppliedAfterItsTenantIsRemovedCounts() {
    final TenantRateLimiter rateLimiter = startedAt(0);
    assertEquals(30 + 0.35 * 38, tokens(rateLimiter, 20_000), 0.001);
    removeTenant(rateLimiter);
    for (int message = 0; message < 40; message++) {
      rateLimiter.recordAcceptedElsewhere("t", 20_000);
    }
    rateLimiter.setConfiguration(CONFIGURATION);
    assertEquals(0.35 * 38 - 10, tokens(rateLimiter, 20_000), 0.001);
  }

  /** Guards against: a removal and a return within one round through the log gave a full bucket. */
  @Test
  void theLeaderContinuesFromAnAccountThatItHasOnlyProposedToEnd() {
    final MessageStore store = StoreStateFixture.store();
    store.setConfiguration(CONFIGURATION);
    store.apply(1, StoreStateFixture.commands().get(0));
    final BorrowingTerms.TermsChange end = new BorrowingTerms.TermsChange();
    end.version = 4;
    store.accounts.copyForLeader().applyTerms(0, end, 1_000);
    store.setConfiguration(
        Configuration.read(
            "{\"Ver\":5,\"Tenants\":[{\"Name\":\"t1\",\"RatePerS\":30,\"Burst\":30}]}"));
    // The account was given less than a whole message; a bucket starts with more.
    assertFalse(store.rateLimiter.tryAcquire("t1", 0, 5_000));
  }
}
