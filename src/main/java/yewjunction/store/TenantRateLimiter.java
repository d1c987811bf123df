package yewjunction.store;

import static yewjunction.limits.QuotaLimits.BUCKET_EXCESS_SHARE;
import static yewjunction.limits.QuotaLimits.STARTUP_EXCESS_SHARE;
import static yewjunction.limits.QuotaLimits.STARTUP_REPLAY_MS;

import java.util.HashMap;
import java.util.Map;
import yewjunction.control.Configuration;
import yewjunction.control.Configuration.Tenant;

/** Token buckets of the tenants; one leader admits all messages, so they count over all nodes. */
final class TenantRateLimiter {
  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final double windowS;
  private final double excess;
  private final double slack;
  private final long startMs;
  private Configuration configuration;

  private static final class TokenBucket {
    double tokens;
    long atMs;
  }

  /** Window, excess and slack: by how much the count of a window may pass a tenant's limit. */
  TenantRateLimiter(
      final double windowS, final double excess, final double slack, final long nowMs) {
    this.windowS = windowS;
    this.excess = excess;
    this.slack = slack;
    startMs = nowMs;
  }

  void charter(final Configuration newConfiguration) {
    configuration = newConfiguration;
  }

  /**
   * A denial below the limit is service lost, and clocks and arrivals differ a little; so a part of
   * what may pass is given to the bucket, and the rest is kept for changes of the leader.
   */
  private double depth(final Tenant tenant) {
    return tenant.burst()
        + BUCKET_EXCESS_SHARE * (excess * (tenant.perSecond() * windowS + tenant.burst()) + slack);
  }

  /** What may pass once, whatever happened before a start or a change of the leader. */
  private double spare(final Tenant tenant) {
    return STARTUP_EXCESS_SHARE
        * (excess * (tenant.perSecond() * windowS + tenant.burst()) + slack);
  }

  private TokenBucket filled(final String tenantName, final long nowMs) {
    final Tenant tenant = configuration == null ? null : configuration.tenant(tenantName);
    if (tenant == null) {
      return null;
    }
    final double depth = depth(tenant);
    final TokenBucket bucket =
        buckets.computeIfAbsent(
            tenantName,
            key -> {
              final TokenBucket fresh = new TokenBucket();
              // Nothing is known of the time before the start: the bucket has filled from then on.
              fresh.tokens =
                  Math.min(depth, spare(tenant) + (nowMs - startMs) * tenant.perSecond() / 1_000);
              fresh.atMs = nowMs;
              return fresh;
            });
    bucket.tokens =
        Math.min(depth, bucket.tokens + (nowMs - bucket.atMs) * tenant.perSecond() / 1_000);
    bucket.atMs = nowMs;
    return bucket;
  }

  /**
   * A borrowing tenant's terms, in whole thousandths; a new account begins with what its bucket
   * holds.
   */
  BorrowingTerms terms(final Tenant tenant, final long nowMs) {
    final BorrowingTerms terms = new BorrowingTerms();
    terms.tenant = tenant.name();
    terms.rate = Math.round(tenant.perSecond() * BorrowingAccount.ONE);
    terms.depth = (long) (depth(tenant) * BorrowingAccount.ONE);
    terms.borrowMax = tenant.borrowMax() * BorrowingAccount.ONE;
    terms.repayPpm = tenant.repayPpm();
    terms.firstTokens = (long) (filled(tenant.name(), nowMs).tokens * BorrowingAccount.ONE);
    return terms;
  }

  /** The tenant's account has ended: its bucket goes on with what that held. */
  void continued(final String tenantName, final long thousandths, final long nowMs) {
    final TokenBucket bucket = filled(tenantName, nowMs);
    if (bucket != null) {
      bucket.tokens = Math.min(bucket.tokens, (double) thousandths / BorrowingAccount.ONE);
    }
  }

  /** The state came from elsewhere, with messages that were not counted here. */
  void forget() {
    buckets.forEach(
        (name, bucket) -> {
          final Tenant tenant = configuration == null ? null : configuration.tenant(name);
          bucket.tokens = tenant == null ? 0 : Math.min(bucket.tokens, spare(tenant));
        });
  }

  /** Takes one message's worth, or says no. */
  boolean take(final String tenantName, final long nowMs) {
    final TokenBucket bucket = filled(tenantName, nowMs);
    if (bucket == null) {
      // No tenant stands behind a message of a public space; a tenant that is gone gets nothing
      // more.
      return tenantName.isEmpty();
    }
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /** A message that another leader admitted: it counts here too, for the day this vault leads. */
  void count(final String tenantName, final long nowMs) {
    // What the log brings back right after a start was counted before it.
    final TokenBucket bucket =
        nowMs - startMs < STARTUP_REPLAY_MS ? null : filled(tenantName, nowMs);
    if (bucket != null) {
      bucket.tokens = Math.max(0, bucket.tokens - 1);
    }
  }
}
