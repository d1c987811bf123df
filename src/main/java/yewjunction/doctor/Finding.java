package yewjunction.doctor;

/** Something that is wrong: a code, what was seen, what to do. */
public record Finding(Code code, String seen, String todo, String planned) {
  /** One that no planned work explains, as far as is known. */
  Finding(final Code code, final String seen, final String todo) {
    this(code, seen, todo, "");
  }

  /** Codes of findings; the operators' page lists them. */
  public enum Code {
    SEED_SILENT,
    SEED_ODD,
    NO_LEADER,
    LEADERS_DIFFER,
    VOTERS_FEW,
    CRUX_OUTSIDE,
    VERSIONS_DIFFER,
    NO_CONFIG,
    EDGE_NOT_READY,
    SIBLING_SUSPECT,
    VAULTS_FEW,
    VAULT_BEHIND,
    VAULT_SILENT,
    CLOCK_APART,
    LEDGER_DAMAGED,
    LEDGER_TORN,
    DISK_NEAR_FULL,
    READY_SILENT,
    CALENDAR_BAD,
    LEASE_LAPSED,
    EDGE_DARK,
    INTAKE_FILLS,
    DISK_SLOW,
    MEMORY_NEAR_FULL,
    VOTER_GONE,
    ACCOUNTS_DIFFER,
    BORROW_AT_LIMIT,
    ORDER_BROKEN
  }
}
