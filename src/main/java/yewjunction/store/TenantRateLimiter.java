package yewjunction.store;

import static yewjunction.limits.QuotaLimits.BUCKET_EXCESS_SHARE;
import static yewjunction.limits.QuotaLimits.STARTUP_EXCESS_SHARE;
import static yewjunction.limits.QuotaLimits.STARTUP_REPLAY_MS;

import java.util.HashMap;
import java.util.Map;
import yewjunction.control.Configuration;
import yewjunction.control.Configuration.Tenant;

/**
 * Token buckets of the tenants. One leader admits all messages, so a bucket counts over all edges;
 * the others keep theirs filled as if they led. A tenant that borrows ahead has a {@link
 * BorrowingAccount} instead.
 *
 * <p>Tokens are messages. All calls on the agent's thread.
 */
final class TenantRateLimiter {
  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final double windowS;
  private final double excess;
  private final double slack;
  private final long startMs;
  private Configuration configuration;

  private static final class TokenBucket {
    double tokens;
    long refilledMs;

    /** Log time of the account's end that it continues from; 0 for none. */
    long continuedFromMs;
  }

  /**
   * Creates full buckets as far as the start allows. Excess and slack say by how much the count of
   * a window may exceed a tenant's limit.
   */
  TenantRateLimiter(
      final double windowS, final double excess, final double slack, final long nowMs) {
    this.windowS = windowS;
    this.excess = excess;
    this.slack = slack;
    startMs = nowMs;
  }

  void setConfiguration(final Configuration newConfiguration) {
    configuration = newConfiguration;
  }

  /**
   * Depth of a tenant's bucket. A denial below the limit is service lost, and clocks and arrivals
   * differ a little: so the bucket gets a part of the tolerated excess, and the rest is kept for
   * changes of the leader.
   */
  private double bucketDepth(final Tenant tenant) {
    return tenant.burst()
        + BUCKET_EXCESS_SHARE
            * (excess * (tenant.ratePerSecond() * windowS + tenant.burst()) + slack);
  }

  /** What may pass once after a start, whatever happened before. */
  private double startupAllowance(final Tenant tenant) {
    return STARTUP_EXCESS_SHARE
        * (excess * (tenant.ratePerSecond() * windowS + tenant.burst()) + slack);
  }

  /** Null for one that the configuration lacks. */
  private Tenant tenant(final String tenantName) {
    return configuration == null ? null : configuration.tenant(tenantName);
  }

  private TokenBucket refill(final Tenant tenant, final long nowMs) {
    final double depth = bucketDepth(tenant);
    final TokenBucket bucket =
        buckets.computeIfAbsent(
            tenant.name(),
            key -> {
              final TokenBucket newBucket = new TokenBucket();
              // Nothing is known of the time before the start: the bucket has been filling since
              // then.
              newBucket.tokens =
                  Math.min(
                      depth,
                      startupAllowance(tenant)
                          + (nowMs - startMs) * tenant.ratePerSecond() / 1_000);
              newBucket.refilledMs = nowMs;
              return newBucket;
            });
    bucket.tokens =
        Math.min(
            depth, bucket.tokens + (nowMs - bucket.refilledMs) * tenant.ratePerSecond() / 1_000);
    bucket.refilledMs = nowMs;
    return bucket;
  }

  /**
   * A borrowing tenant's terms, in whole thousandths; a new account starts with what the bucket
   * holds.
   */
  BorrowingTerms borrowingTerms(final Tenant tenant, final long nowMs) {
    final BorrowingTerms terms = new BorrowingTerms();
    terms.tenant = tenant.name();
    terms.ratePerSecond = Math.round(tenant.ratePerSecond() * BorrowingAccount.THOUSANDTHS);
    terms.bucketDepth = (long) (bucketDepth(tenant) * BorrowingAccount.THOUSANDTHS);
    terms.borrowMax = tenant.borrowMax() * BorrowingAccount.THOUSANDTHS;
    terms.repayPpm = tenant.repayPpm();
    terms.firstTokens = (long) (refill(tenant, nowMs).tokens * BorrowingAccount.THOUSANDTHS);
    return terms;
  }

  /**
   * The tenant's account has ended: its bucket continues with what the account held, also while the
   * configuration lacks the tenant, which may be back within the window. A leader learns of one end
   * twice, when it proposes it and when it is applied: only the first time counts.
   *
   * @param endedMs log time of the end, by which it is recognised
   */
  void continueFrom(
      final String tenantName, final long thousandths, final long endedMs, final long nowMs) {
    final TokenBucket bucket = buckets.computeIfAbsent(tenantName, key -> new TokenBucket());
    if (endedMs > bucket.continuedFromMs) {
      bucket.continuedFromMs = endedMs;
      bucket.tokens = (double) thousandths / BorrowingAccount.THOUSANDTHS;
      bucket.refilledMs = nowMs;
    }
  }

  /** Ends of accounts that were only proposed are the log's matter now, and count when applied. */
  void onLeaderChange() {
    buckets.values().forEach(bucket -> bucket.continuedFromMs = 0);
  }

  /** Caps all buckets after a snapshot, since its messages were not counted here. */
  void capAfterRestore() {
    buckets.forEach(
        (name, bucket) -> {
          final Tenant tenant = tenant(name);
          bucket.tokens = tenant == null ? 0 : Math.min(bucket.tokens, startupAllowance(tenant));
        });
  }

  /**
   * Takes one token; returns false when there is none.
   *
   * <p>A quota counts messages when they are sent. What was refilled while an edge held a message
   * belongs to later ones: the message gets none of it, so that no window of sending times holds
   * more than a full bucket and what a window refills.
   *
   * @param heldMs for how long the message's edge held it
   */
  boolean tryAcquire(final String tenantName, final long heldMs, final long nowMs) {
    final Tenant tenant = tenant(tenantName);
    if (tenant == null) {
      // A message of a public route has no tenant; a tenant that was removed gets nothing more.
      return tenantName.isEmpty();
    }
    final TokenBucket bucket = refill(tenant, nowMs);
    final double refilledMeanwhile = heldMs * tenant.ratePerSecond() / 1_000;
    if (bucket.tokens - refilledMeanwhile < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /**
   * Counts a message that another leader admitted, in case this store leads later; also where this
   * store's configuration lacks the tenant already.
   */
  void recordAcceptedElsewhere(final String tenantName, final long nowMs) {
    if (nowMs - startMs < STARTUP_REPLAY_MS) {
      // What is applied right after the start was counted before it.
      return;
    }
    final Tenant tenant = tenant(tenantName);
    final TokenBucket bucket = tenant == null ? buckets.get(tenantName) : refill(tenant, nowMs);
    if (bucket != null) {
      bucket.tokens = Math.max(0, bucket.tokens - 1);
    }
  }
}
