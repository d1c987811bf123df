package yewjunction.store;

import yewjunction.control.AccountBalance;

/**
 * What a tenant that borrows ahead may still send, and what it owes (docs/borrowing.md). Amounts
 * are whole thousandths of a message and time is log time, so every store that has applied the same
 * entries holds the same account. Encoded by position.
 */
final class BorrowingAccount {
  /** Thousandths in a message. */
  static final long THOUSANDTHS = 1_000;

  /** Millionths in a whole share. */
  private static final long MILLIONTHS = 1_000_000;

  /**
   * Largest product of rate and milliseconds that is computed at once: times a share, it stays well
   * inside a long.
   */
  private static final long MAX_STEP = 1_000_000_000_000_000L;

  BorrowingTerms terms = new BorrowingTerms();
  long tokens;
  long debt;
  long borrowed;
  long repaid;

  /**
   * Remainders too small to count: of the thousandth that grows, and of the one that is being
   * repaid.
   */
  private long growthRemainder;

  private long repaymentRemainder;

  /** Log time up to which the account has been refilled, in milliseconds. */
  long refilledToMs;

  /** Index of the entry that changed it last. */
  long lastIndex;

  BorrowingAccount copy() {
    final BorrowingAccount copy = new BorrowingAccount();
    copy.terms = terms;
    copy.tokens = tokens;
    copy.debt = debt;
    copy.borrowed = borrowed;
    copy.repaid = repaid;
    copy.growthRemainder = growthRemainder;
    copy.repaymentRemainder = repaymentRemainder;
    copy.refilledToMs = refilledToMs;
    copy.lastIndex = lastIndex;
    return copy;
  }

  /**
   * Refills the account up to a log time. Remainders are kept, so the number of steps makes no
   * difference and the leader may look in between.
   */
  void refill(final long toMs) {
    while (terms.ratePerSecond > 0 && refilledToMs < toMs) {
      final long stepMs =
          Math.min(toMs - refilledToMs, Math.max(1, MAX_STEP / terms.ratePerSecond));
      growthRemainder += stepMs * terms.ratePerSecond;
      grow(growthRemainder / THOUSANDTHS);
      growthRemainder %= THOUSANDTHS;
      refilledToMs += stepMs;
    }
    refilledToMs = Math.max(refilledToMs, toMs);
    checkInvariants();
  }

  private void grow(final long gain) {
    long kept = gain;
    if (debt > 0) {
      repaymentRemainder += gain * terms.repayPpm;
      final long pays = Math.min(debt, repaymentRemainder / MILLIONTHS);
      debt -= pays;
      repaid += pays;
      kept -= pays;
      repaymentRemainder = debt == 0 ? 0 : repaymentRemainder % MILLIONTHS;
    }
    tokens = Math.min(terms.bucketDepth, tokens + kept);
  }

  /** Whether a message can be paid for without borrowing. */
  boolean canPay() {
    return tokens >= THOUSANDTHS;
  }

  boolean canBorrow() {
    return debt + THOUSANDTHS <= terms.borrowMax;
  }

  /** Takes one message, and borrows for it when there is no token. */
  void charge(final long stampMs) {
    refill(stampMs);
    if (canPay()) {
      tokens -= THOUSANDTHS;
      return;
    }
    // Invariant: the leader admits a message only if the account allows it, by this same
    // arithmetic.
    if (!canBorrow()) {
      throw new IllegalStateException(terms.tenant + " owes " + debt + " of " + terms.borrowMax);
    }
    debt += THOUSANDTHS;
    borrowed += THOUSANDTHS;
    checkInvariants();
  }

  void updateTerms(final BorrowingTerms newTerms) {
    terms = newTerms;
    // A lower limit leaves the debt as it is.
    tokens = Math.min(tokens, terms.bucketDepth);
  }

  private void checkInvariants() {
    // Invariant: nothing borrowed is forgotten, and nothing is repaid twice.
    if (borrowed - repaid != debt || debt < 0 || tokens < 0) {
      throw new IllegalStateException(
          terms.tenant + " borrowed " + borrowed + " repaid " + repaid + " owes " + debt);
    }
  }

  AccountBalance balance() {
    final AccountBalance balance = new AccountBalance();
    balance.tenant = terms.tenant;
    balance.index = lastIndex;
    balance.borrowMax = terms.borrowMax;
    balance.repayPpm = terms.repayPpm;
    balance.tokens = tokens;
    balance.debt = debt;
    balance.borrowed = borrowed;
    balance.repaid = repaid;
    return balance;
  }
}
