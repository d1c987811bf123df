package yewjunction.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import yewjunction.common.LogEvent;
import yewjunction.control.AccountBalance;

/**
 * The accounts of all tenants that borrow ahead or still owe: part of the state that the stores'
 * log drives. The leader keeps a copy that runs ahead of the log.
 */
final class BorrowingAccounts {
  private final Map<String, BorrowingAccount> byTenant = new TreeMap<>();

  /** Version of the configuration whose terms are in force. */
  private long version;

  /**
   * The newest log time, and when this store applied it by its own steady clock, in milliseconds.
   */
  private long stampMs;

  private long stampReceivedMs;

  private final EndListener endListener;

  /** False for the leader's copy: what it runs ahead with is logged once it is applied. */
  private final boolean logsEvents;

  /** Is told of each account that ends, by the log and by the leader's copy ahead of it. */
  interface EndListener {
    /**
     * The tenant has no account from now on.
     *
     * @param thousandths tokens that the account held
     * @param endedMs log time of the end
     */
    void onAccountEnded(String tenant, long thousandths, long endedMs);
  }

  BorrowingAccounts(final EndListener endListener) {
    this(endListener, true);
  }

  private BorrowingAccounts(final EndListener endListener, final boolean logsEvents) {
    this.endListener = endListener;
    this.logsEvents = logsEvents;
  }

  /** The state as a snapshot holds it; encoded by position. */
  static final class Snapshot {
    long version;
    long stampMs;
    List<BorrowingAccount> accounts = new ArrayList<>();
  }

  boolean isEmpty() {
    return byTenant.isEmpty();
  }

  long version() {
    return version;
  }

  BorrowingAccount accountOf(final String tenant) {
    return byTenant.get(tenant);
  }

  Iterable<BorrowingAccount> all() {
    return byTenant.values();
  }

  /**
   * Log time as far as this store can tell: the newest stamp and what has passed here since. Time
   * that was not counted, as between two leaders or while all were down, makes a debt fall later
   * and never sooner.
   */
  long logTimeMs(final long nowMs) {
    return stampMs + Math.max(0, nowMs - stampReceivedMs);
  }

  /** A copy for the leader, to which it applies at once what it proposes. */
  BorrowingAccounts copyForLeader() {
    final BorrowingAccounts copy = new BorrowingAccounts(endListener, false);
    byTenant.forEach((tenant, account) -> copy.byTenant.put(tenant, account.copy()));
    copy.version = version;
    copy.stampMs = stampMs;
    copy.stampReceivedMs = stampReceivedMs;
    return copy;
  }

  /**
   * Applies an entry. One that was admitted while the tenant had no account has no log time and
   * changes nothing.
   */
  void apply(final long index, final StoredMessage message, final long nowMs) {
    if (message.logTimeMs == null) {
      return;
    }
    // Invariant: log time never goes back.
    if (message.logTimeMs < stampMs) {
      throw new IllegalStateException("stamp " + message.logTimeMs + " after " + stampMs);
    }
    stampMs = message.logTimeMs;
    stampReceivedMs = nowMs;
    if (message.termsChange == null) {
      charge(index, message.tenant, stampMs);
    } else {
      applyTerms(index, message.termsChange, stampMs);
    }
  }

  void charge(final long index, final String tenant, final long atMs) {
    final BorrowingAccount account = byTenant.get(tenant);
    final long before = account.debt;
    account.charge(atMs);
    account.lastIndex = index;
    logDebtChange(account, before);
  }

  private void logDebtChange(final BorrowingAccount account, final long before) {
    if (logsEvents && before == 0 && account.debt > 0) {
      LogEvent.BORROWING_STARTED.info(account.terms.tenant + " at " + account.lastIndex);
    } else if (logsEvents && before > 0 && account.debt == 0) {
      LogEvent.DEBT_REPAID.info(
          account.terms.tenant
              + " at "
              + account.lastIndex
              + ", in all "
              + account.repaid / BorrowingAccount.THOUSANDTHS);
    }
  }

  void applyTerms(final long index, final BorrowingTerms.TermsChange change, final long atMs) {
    byTenant
        .values()
        .forEach(
            account -> {
              final long before = account.debt;
              account.refill(atMs);
              account.lastIndex = index;
              logDebtChange(account, before);
            });
    if (change.version >= version && change.version > 0) {
      version = change.version;
      agree(index, change.terms, atMs);
    }
  }

  private void agree(final long index, final List<BorrowingTerms> all, final long atMs) {
    final Set<String> named = new HashSet<>();
    for (final BorrowingTerms terms : all) {
      named.add(terms.tenant);
      final BorrowingAccount account =
          byTenant.computeIfAbsent(
              terms.tenant,
              key -> {
                final BorrowingAccount fresh = new BorrowingAccount();
                fresh.tokens = terms.firstTokens;
                fresh.refilledToMs = atMs;
                fresh.lastIndex = index;
                return fresh;
              });
      account.updateTerms(terms.copy());
    }
    for (final BorrowingAccount account : new ArrayList<>(byTenant.values())) {
      if (!named.contains(account.terms.tenant) && account.debt == 0) {
        byTenant.remove(account.terms.tenant);
        endListener.onAccountEnded(account.terms.tenant, account.tokens, atMs);
      }
    }
  }

  List<AccountBalance> balances() {
    final List<AccountBalance> balances = new ArrayList<>();
    byTenant.values().forEach(account -> balances.add(account.balance()));
    return balances;
  }

  /** Null when nobody has borrowed yet, so that snapshots of earlier releases stay the same. */
  Snapshot snapshot() {
    if (stampMs == 0 && byTenant.isEmpty()) {
      return null;
    }
    final Snapshot saved = new Snapshot();
    saved.version = version;
    saved.stampMs = stampMs;
    saved.accounts.addAll(byTenant.values());
    return saved;
  }

  void restore(final Snapshot saved, final long nowMs) {
    byTenant.clear();
    stampReceivedMs = nowMs;
    version = saved == null ? 0 : saved.version;
    stampMs = saved == null ? 0 : saved.stampMs;
    if (saved != null) {
      saved.accounts.forEach(account -> byTenant.put(account.terms.tenant, account));
    }
  }
}
