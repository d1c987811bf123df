package yewjunction.doctor;

import com.typesafe.config.Config;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.doctor.Finding.Code;

/**
 * The accounts of tenants that borrow ahead, as each store holds them, compared with one another.
 */
final class BorrowingCheck {
  private final Findings findings;
  private final Map<String, String> amountsByEntry = new TreeMap<>();
  private final Map<String, Config> newestByTenant = new TreeMap<>();

  BorrowingCheck(final Findings findings) {
    this.findings = findings;
  }

  void run(final List<? extends Config> stores) {
    for (final Config store : stores) {
      if (store.hasPath("Accounts")) {
        store.getConfigList("Accounts").forEach(account -> compare(store, account));
      }
    }
    newestByTenant.forEach(this::checkLimit);
  }

  private void compare(final Config store, final Config account) {
    final String tenant = account.getString("Tenant");
    final String entry = tenant + " at entry " + account.getLong("Index");
    final String amounts = amounts(account);
    // Accounts that the same entry changed last must be the same, whoever holds them.
    final String others = amountsByEntry.putIfAbsent(entry, amounts);
    if (others != null && !others.equals(amounts)) {
      findings.add(
          Code.ACCOUNTS_DIFFER,
          entry
              + ": "
              + store.getString("Nodename")
              + " holds "
              + amounts
              + ", another store "
              + others,
          "report it with both log files; empty the folder of the store that a third one contradicts");
    }
    // A store that lags shows an earlier state; the newest one counts.
    newestByTenant.merge(
        tenant, account, (one, two) -> two.getLong("Index") > one.getLong("Index") ? two : one);
  }

  private static String amounts(final Config account) {
    return account.getDouble("Tokens")
        + " left, "
        + account.getDouble("Debt")
        + " owed, "
        + account.getDouble("Borrowed")
        + " borrowed, "
        + account.getDouble("Repaid")
        + " repaid";
  }

  private void checkLimit(final String tenant, final Config account) {
    final double debt = account.getDouble("Debt");
    final double limit = account.getDouble("BorrowMax");
    if (debt > 0 && debt + 1 > limit) {
      findings.add(
          Code.BORROW_AT_LIMIT,
          tenant + " owes " + debt + " of " + limit + " and is denied more",
          "nothing; or a higher RatePerS or BorrowMax");
    }
  }
}
