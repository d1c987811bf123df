package yewjunction.vault;

import java.util.HashMap;
import java.util.Map;
import yewjunction.charter.Charter;
import yewjunction.charter.Charter.Tenant;

/** Token buckets of the tenants; one leader admits all messages, so they count over all nodes. */
final class Quotas {
    private final Map<String, Bucket> buckets = new HashMap<>();
    private Charter charter;

    private static final class Bucket {
        double tokens;
        long atMs;
    }

    void charter(final Charter newCharter) {
        charter = newCharter;
    }

    private Bucket filled(final String tenantName, final long nowMs) {
        final Tenant tenant = charter == null ? null : charter.tenant(tenantName);
        if (tenant == null) {
            return null;
        }
        final Bucket bucket = buckets.computeIfAbsent(tenantName, key -> {
            final Bucket fresh = new Bucket();
            fresh.tokens = tenant.burst();
            fresh.atMs = nowMs;
            return fresh;
        });
        bucket.tokens = Math.min(tenant.burst(), bucket.tokens + (nowMs - bucket.atMs) * tenant.perSecond() / 1_000);
        bucket.atMs = nowMs;
        return bucket;
    }

    /** Takes one message's worth, or says no. */
    boolean take(final String tenantName, final long nowMs) {
        final Bucket bucket = filled(tenantName, nowMs);
        if (bucket == null) {
            // No tenant stands behind a message of a public space; a tenant that is gone gets nothing more.
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
        final Bucket bucket = filled(tenantName, nowMs);
        if (bucket != null) {
            bucket.tokens = Math.max(0, bucket.tokens - 1);
        }
    }
}
