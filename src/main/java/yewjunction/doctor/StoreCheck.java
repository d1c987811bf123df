package yewjunction.doctor;

import static yewjunction.limits.ToolLimits.MAX_STORE_LAG_ENTRIES;
import static yewjunction.limits.ToolLimits.STORE_SILENCE_MS;

import com.typesafe.config.Config;
import java.util.List;
import yewjunction.doctor.Finding.Code;

/** The stores as the leading control node shows them. */
final class StoreCheck {
  private final int votersNeeded;
  private final Findings findings;

  StoreCheck(final int votersNeeded, final Findings findings) {
    this.votersNeeded = votersNeeded;
    this.findings = findings;
  }

  void run(final List<? extends Config> stores) {
    new BorrowingCheck(findings).run(stores);
    final long reporting = stores.stream().filter(store -> !isSilent(store)).count();
    if (reporting < votersNeeded) {
      findings.add(
          Code.VAULTS_FEW,
          reporting + " stores report, " + votersNeeded + " bear the losses named",
          "bring back or add store machines");
    }
    final long newest =
        stores.stream().mapToLong(store -> store.getLong("Applied")).max().orElse(0);
    stores.forEach(store -> checkStore(store, newest));
  }

  private static boolean isSilent(final Config store) {
    return store.getLong("SeenMs") >= STORE_SILENCE_MS;
  }

  private void checkStore(final Config store, final long newest) {
    final String node = store.getString("Nodename");
    final long behind = newest - store.getLong("Applied");
    if (isSilent(store)) {
      findings.add(
          Code.VAULT_SILENT,
          node + " last called " + store.getLong("SeenMs") + " ms ago",
          "see whether it runs",
          node);
    } else if (behind > MAX_STORE_LAG_ENTRIES) {
      findings.add(
          Code.VAULT_BEHIND,
          node + " is " + behind + " entries behind",
          "a spare one holds nothing; a voter catches up, else see its disk and connections",
          node);
    }
  }
}
