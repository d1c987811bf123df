package yewjunction.store;

import java.util.ArrayList;
import java.util.List;

/**
 * On what terms a tenant borrows, in thousandths of a message and millionths of a share. Encoded by
 * position.
 */
final class BorrowingTerms {
  String tenant = "";

  /** A second. */
  long ratePerSecond;

  long bucketDepth;
  long borrowMax;
  long repayPpm;

  /** What a new account begins with: what the tenant's bucket held at the leader. */
  long firstTokens;

  /** Whether both say the same to an account that there is already. */
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
   * An entry of the stores' log: the terms of all tenants that borrow or owe, or only that time has
   * passed.
   */
  static final class TermsChange {
    /** Of the configuration that the terms were read from; 0 when only time has passed. */
    long version;

    List<BorrowingTerms> terms = new ArrayList<>();
  }
}
