package yewjunction.doctor;

import com.typesafe.config.Config;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.doctor.Finding.Code;

/** What the stores say of the accounts of tenants that borrow ahead, held against one another. */
final class BorrowingCheck {
  private BorrowingCheck() {}

  /** Rows of stores as the leading control node shows them. */
  static List<Finding> check(final List<? extends Config> stores) {
    final List<Finding> findings = new ArrayList<>();
    final Map<String, String> told = new TreeMap<>();
    final Map<String, Config> newest = new TreeMap<>();
    for (final Config store : stores) {
      for (final Config account :
          store.hasPath("Accounts") ? store.getConfigList("Accounts") : List.<Config>of()) {
        final String tenant = account.getString("Tenant");
        final String place = tenant + " at entry " + account.getLong("Index");
        final String held =
            account.getDouble("Tokens")
                + " left, "
                + account.getDouble("Debt")
                + " owed, "
                + account.getDouble("Borrowed")
                + " borrowed, "
                + account.getDouble("Repaid")
                + " repaid";
        // Accounts that the same entry touched last must be the same, whoever holds them.
        final String other = told.putIfAbsent(place, held);
        if (other != null && !other.equals(held)) {
          findings.add(
              new Finding(
                  Code.ACCOUNTS_DIFFER,
                  place
                      + ": "
                      + store.getString("Nodename")
                      + " holds "
                      + held
                      + ", another store "
                      + other,
                  "report it with both log files; empty the folder of the store that a third one contradicts"));
        }
        // A store that lags says what was; the newest word counts.
        newest.merge(
            tenant, account, (one, two) -> two.getLong("Index") > one.getLong("Index") ? two : one);
      }
    }
    newest.forEach(
        (tenant, account) -> {
          if (account.getDouble("Debt") > 0
              && account.getDouble("Debt") + 1 > account.getDouble("BorrowMax")) {
            findings.add(
                new Finding(
                    Code.BORROW_AT_LIMIT,
                    tenant
                        + " owes "
                        + account.getDouble("Debt")
                        + " of "
                        + account.getDouble("BorrowMax")
                        + " and is denied more",
                    "nothing; or a higher RatePerS or BorrowMax"));
          }
        });
    return findings;
  }
}
