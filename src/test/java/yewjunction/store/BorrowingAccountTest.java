package yewjunction.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Accounts grow and repay the same however time is cut into steps. */
class BorrowingAccountTest {
  private static BorrowingAccount account(
      final long rate, final long depth, final long borrowMax, final long repayPpm) {
    final BorrowingTerms terms = new BorrowingTerms();
    terms.tenant = "t";
    terms.ratePerSecond = rate;
    terms.bucketDepth = depth;
    terms.borrowMax = borrowMax;
    terms.repayPpm = repayPpm;
    final BorrowingAccount account = new BorrowingAccount();
    account.updateTerms(terms);
    return account;
  }

  private static String state(final BorrowingAccount account) {
    return ReferenceAccounts.describe(account.balance());
  }

  /**
   * A leader looks at an account far more often than the log touches it: both must reckon the same.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void itDoesNotMatterInHowManyStepsTimePasses(final long seed) {
    final Random random = new Random(seed);
    final BorrowingAccount seldom =
        account(1 + random.nextInt(90_000), 5_000, 40_000, 1 + random.nextInt(1_000_000));
    final BorrowingAccount often = seldom.copy();
    long nowMs = 0;
    int charged = 0;
    for (int round = 0; round < 3_000; round++) {
      for (int step = random.nextInt(6); step > 0; step--) {
        nowMs += random.nextInt(40);
        often.refill(nowMs);
      }
      if (often.canPay() || often.canBorrow()) {
        often.charge(nowMs);
        seldom.charge(nowMs);
        charged++;
      }
      if (random.nextInt(10) == 0) {
        seldom.refill(nowMs);
        assertEquals(state(often), state(seldom), "round " + round);
      }
    }
    assertTrue(charged > 100 && seldom.repaid > 0, charged + " " + seldom.repaid);
  }

  @Test
  void halfOfTheRateRepaysAndTheRestGoesOn() {
    final BorrowingAccount account = account(10_000, 10_000, 5_000, 500_000);
    for (int i = 0; i < 5; i++) {
      account.charge(0);
    }
    assertEquals("0 5000 5000 0", state(account));
    assertFalse(account.canPay() || account.canBorrow());
    assertThrows(IllegalStateException.class, () -> account.charge(0));
    account.refill(400);
    assertEquals("2000 3000 5000 2000", state(account));
    account.refill(1_000);
    assertEquals("5000 0 5000 5000", state(account));
    account.refill(1_500);
    assertEquals("10000 0 5000 5000", state(account));
  }

  /** A share so small that no step repays a whole thousandth by itself. */
  @Test
  void aSmallShareRepaysAllTheSame() {
    final BorrowingAccount account = account(1_000, 1_000, 1_000, 1);
    account.charge(0);
    for (long nowMs = 1; nowMs <= 10_000_000; nowMs += 7) {
      account.refill(nowMs);
    }
    account.refill(1_000_000_000);
    assertEquals(account.debt, 1_000 - account.repaid);
    assertEquals(1_000, account.repaid);
  }

  @Test
  void aLowerLimitLeavesTheDebtAndAllowsNoMore() {
    final BorrowingAccount account = account(1_000, 10_000, 8_000, 500_000);
    for (int i = 0; i < 6; i++) {
      account.charge(0);
    }
    final BorrowingTerms lower = account.terms.copy();
    lower.borrowMax = 2_000;
    account.updateTerms(lower);
    assertEquals(6_000, account.debt);
    assertFalse(account.canBorrow());
    account.refill(2_000);
    assertEquals("1000 5000 6000 1000", state(account));
    assertFalse(account.canBorrow());
    // Paid with a token, although it still owes.
    account.charge(2_000);
    account.refill(10_000);
    assertEquals(1_000, account.debt);
    assertTrue(account.canBorrow());
  }

  /** Years at the highest rate there may be: nothing overflows. */
  @Test
  void aLongTimeAtAHighRateStaysInRange() {
    final BorrowingAccount account =
        account(1_000_000_000_000L, 1_000_000, 1_000_000_000_000L, 999_999);
    account.charge(0);
    account.refill(40_000_000_000L);
    assertEquals(1_000_000, account.tokens);
    assertEquals(0, account.debt);
  }
}
