package yewjunction.membership;

/**
 * What a process is for. The names on the wire and in operators' tables are those of the first
 * release: members of one system may be of two releases while it is upgraded.
 */
public enum NodeRole {
  /** Holds clients' connections. */
  EDGE("tide"),
  /** Holds stored messages on disk. */
  STORE("vault"),
  /** Holds the configuration, and serves the operator. */
  CONTROL("crux");

  private final String wireName;

  NodeRole(final String wireName) {
    this.wireName = wireName;
  }

  /** The name in messages between nodes and in the answers of the operator's calls. */
  public String wireName() {
    return wireName;
  }

  /**
   * Whether a name from the wire is this role's; names that this release does not know are
   * nobody's.
   */
  public boolean is(final String name) {
    return wireName.equals(name);
  }
}
