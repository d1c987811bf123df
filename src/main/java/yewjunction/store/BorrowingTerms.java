package yewjunction.store;

import java.util.ArrayList;
import java.util.List;

/**
 * On what terms a tenant borrows, in thousandths of a message and millionths of a share. Encoded by
 * position.
 */
final class BorrowingTerms {
  String tenant = "";

  /** Thousandths of a message a second. */
  long ratePerSecond;

  long bucketDepth;
  long borrowMax;
  long repayPpm;

  /**
   * What a new account starts with, in thousandths: what the tenant's bucket held at the leader.
   */
  long firstTokens;

  /** Whether both mean the same for an account that exists already. */
  boolean sameTerms(final BorrowingTerms other) {
    return tenant.equals(other.tenant)
        && ratePerSecond == other.ratePerSecond
        && bucketDepth == other.bucketDepth
        && borrowMax == other.borrowMax
        && repayPpm == other.repayPpm;
  }

  BorrowingTerms copy() {
    final BorrowingTerms copy = new BorrowingTerms();
    copy.tenant = tenant;
    copy.ratePerSecond = ratePerSecond;
    copy.bucketDepth = bucketDepth;
    copy.borrowMax = borrowMax;
    copy.repayPpm = repayPpm;
    return copy;
  }

  /**
   * What an entry changes: the terms of all tenants that borrow or owe, or only that time has
   * passed. Encoded by position.
   */
  static final class TermsChange {
    /** Version of the configuration that the terms are from; 0 when only time has passed. */
    long version;

    List<BorrowingTerms> terms = new ArrayList<>();
  }
}
