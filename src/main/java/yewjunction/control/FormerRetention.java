package yewjunction.control;

import java.util.Objects;

/**
 * A retention that the topics of a prefix had until a version took it away or shortened it. Stores
 * keep by it what was admitted before that version. Immutable once built; encoded by position.
 */
public final class FormerRetention {
  String prefix = "";
  long retentionMs;

  /** The first version under which the topics are kept for less. */
  long endVersion;

  /** For the codec; fields are set afterwards. */
  FormerRetention() {}

  /** A retention in milliseconds that ended with a version. */
  public FormerRetention(final String prefix, final long retentionMs, final long endVersion) {
    this.prefix = prefix;
    this.retentionMs = retentionMs;
    this.endVersion = endVersion;
  }

  /** What the topics' names begin with. */
  public String prefix() {
    return prefix;
  }

  /** Milliseconds for which messages were kept. */
  public long retentionMs() {
    return retentionMs;
  }

  /**
   * Whether a version of the configuration is older than this end, so that it cannot know of it.
   */
  boolean endedAfter(final long version) {
    return endVersion > version;
  }

  /** Whether whoever keeps by this one keeps at least as long by the other one. */
  boolean isCoveredBy(final FormerRetention other) {
    return prefix.equals(other.prefix)
        && retentionMs <= other.retentionMs
        && endVersion <= other.endVersion;
  }

  @Override
  public boolean equals(final Object other) {
    return other instanceof FormerRetention one
        && prefix.equals(one.prefix)
        && retentionMs == one.retentionMs
        && endVersion == one.endVersion;
  }

  @Override
  public int hashCode() {
    return Objects.hash(prefix, retentionMs, endVersion);
  }

  @Override
  public String toString() {
    return prefix + " " + retentionMs + " ms until version " + endVersion;
  }
}
