package yewjunction.store;

import yewjunction.control.AccountBalance;

/**
 * What a tenant that borrows ahead may still send, and what it owes (docs/borrowing.md). Amounts
 * are whole thousandths of a message and time is log time, so every store that has applied the same
 * entries holds the same account. Encoded by position.
 */
final class BorrowingAccount {
  /** Thousandths that make a message. */
  static final long THOUSANDTHS = 1_000;

  /** Millionths that make the whole of a share. */
  private static final long MILLIONTHS = 1_000_000;

  /**
   * Thousandths a second, times ms, reckoned at once: its product with a share stays far inside a
   * long.
   */
  private static final long MAX_STEP = 1_000_000_000_000_000L;

  BorrowingTerms terms = new BorrowingTerms();
  long tokens;
  long debt;
  long borrowed;
  long repaid;

  /** What was too little to count yet: of a thousandth that grows, and of one that is repaid. */
  private long growthRemainder;

  private long repaymentRemainder;

  /** Log time up to which it has grown. */
  long refilledToMs;

  /** The entry that touched it last. */
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
   * Grows with time. It does not matter in how many steps: remainders are kept, so the leader may
   * look in between.
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

  /** A message may pass without borrowing. */
  boolean canPay() {
    return tokens >= THOUSANDTHS;
  }

  boolean canBorrow() {
    return debt + THOUSANDTHS <= terms.borrowMax;
  }

  /** Takes one message, borrowed where there is no token for it. */
  void charge(final long stampMs) {
    refill(stampMs);
    if (canPay()) {
      tokens -= THOUSANDTHS;
      return;
    }
    // Invariant: the leader admits a message only where the account bears it, by this same
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
    // A lower limit leaves the debt as it is and allows no more.
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
