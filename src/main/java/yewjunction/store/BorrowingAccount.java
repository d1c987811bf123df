package yewjunction.store;

import yewjunction.control.AccountBalance;

/**
 * What a tenant that borrows ahead may still send, and what it owes. Whole thousandths of a message
 * and log time only, so every vault that has applied the same entries holds the same account.
 */
final class BorrowingAccount {
  /** Thousandths that make a message. */
  static final long ONE = 1_000;

  /** Millionths that make the whole of a share. */
  private static final long WHOLE = 1_000_000;

  /**
   * Thousandths a second, times ms, reckoned at once: its product with a share stays far inside a
   * long.
   */
  private static final long STEP_MOST = 1_000_000_000_000_000L;

  BorrowingTerms terms = new BorrowingTerms();
  long tokens;
  long debt;
  long borrowed;
  long repaid;

  /** What was too little to count yet: of a thousandth that grows, and of one that is repaid. */
  private long growing;

  private long repaying;

  /** Log time up to which it has grown. */
  long atMs;

  /** The entry that touched it last. */
  long index;

  BorrowingAccount copy() {
    final BorrowingAccount copy = new BorrowingAccount();
    copy.terms = terms;
    copy.tokens = tokens;
    copy.debt = debt;
    copy.borrowed = borrowed;
    copy.repaid = repaid;
    copy.growing = growing;
    copy.repaying = repaying;
    copy.atMs = atMs;
    copy.index = index;
    return copy;
  }

  /**
   * Grows with time. It does not matter in how many steps: remainders are kept, so the leader may
   * look in between.
   */
  void refill(final long toMs) {
    while (terms.rate > 0 && atMs < toMs) {
      final long stepMs = Math.min(toMs - atMs, Math.max(1, STEP_MOST / terms.rate));
      growing += stepMs * terms.rate;
      grow(growing / ONE);
      growing %= ONE;
      atMs += stepMs;
    }
    atMs = Math.max(atMs, toMs);
    check();
  }

  private void grow(final long gain) {
    long kept = gain;
    if (debt > 0) {
      repaying += gain * terms.repayPpm;
      final long pays = Math.min(debt, repaying / WHOLE);
      debt -= pays;
      repaid += pays;
      kept -= pays;
      repaying = debt == 0 ? 0 : repaying % WHOLE;
    }
    tokens = Math.min(terms.depth, tokens + kept);
  }

  /** A message may pass without borrowing. */
  boolean pays() {
    return tokens >= ONE;
  }

  boolean lends() {
    return debt + ONE <= terms.borrowMax;
  }

  /** Takes one message, borrowed where there is no token for it. */
  void charge(final long stampMs) {
    refill(stampMs);
    if (pays()) {
      tokens -= ONE;
      return;
    }
    // Invariant: the leader admits a message only where the account bears it, by this same
    // arithmetic.
    if (!lends()) {
      throw new IllegalStateException(terms.tenant + " owes " + debt + " of " + terms.borrowMax);
    }
    debt += ONE;
    borrowed += ONE;
    check();
  }

  void agree(final BorrowingTerms newTerms) {
    terms = newTerms;
    // A lower limit leaves the debt as it is and allows no more.
    tokens = Math.min(tokens, terms.depth);
  }

  private void check() {
    // Invariant: nothing borrowed is forgotten, and nothing is repaid twice.
    if (borrowed - repaid != debt || debt < 0 || tokens < 0) {
      throw new IllegalStateException(
          terms.tenant + " borrowed " + borrowed + " repaid " + repaid + " owes " + debt);
    }
  }

  AccountBalance balance() {
    final AccountBalance balance = new AccountBalance();
    balance.tenant = terms.tenant;
    balance.index = index;
    balance.borrowMax = terms.borrowMax;
    balance.repayPpm = terms.repayPpm;
    balance.tokens = tokens;
    balance.debt = debt;
    balance.borrowed = borrowed;
    balance.repaid = repaid;
    return balance;
  }
}
