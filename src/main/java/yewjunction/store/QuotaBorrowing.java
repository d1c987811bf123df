package yewjunction.store;

import static yewjunction.limits.QuotaLimits.DEBT_UPDATE_INTERVAL_MS;
import static yewjunction.limits.QuotaLimits.MAX_BORROWS_PER_TURN;
import static yewjunction.limits.QuotaLimits.MAX_DISK_LAG_TO_LEND_MS;
import static yewjunction.limits.QuotaLimits.MAX_IN_FLIGHT_TO_LEND;
import static yewjunction.limits.QuotaLimits.MAX_WAITING_TO_BORROW;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.control.Configuration;
import yewjunction.raft.RaftNode;

/**
 * The leader's side of borrowing ahead: the accounts as they will be once all that is in flight is
 * applied, whose turn it is to borrow, and when terms and the passing of time enter the log. A
 * borrower gets what others leave.
 *
 * <p>Owned by {@link AdmissionController}; all calls on the agent's thread.
 */
public final class QuotaBorrowing {
  private final AgentContext context;
  private final RaftNode raftNode;
  private final MessageStore messageStore;
  private final Map<String, ArrayDeque<Runnable>> waitingByTenant = new LinkedHashMap<>();
  private final Set<String> atLimit = new HashSet<>();
  private BorrowingAccounts accountsAhead;
  private boolean turnScheduled;
  private long lastChangeMs;
  private int inFlight;

  /** What is decided about one message. */
  enum Decision {
    PAY,
    BORROW,
    WAIT,
    DENY
  }

  QuotaBorrowing(
      final AgentContext context, final RaftNode raftNode, final MessageStore messageStore) {
    this.context = context;
    this.raftNode = raftNode;
    this.messageStore = messageStore;
  }

  /**
   * The accounts with all that this leader has proposed. Used only at the leader, which has applied
   * all that others admitted before.
   */
  private BorrowingAccounts accountsAhead() {
    if (accountsAhead == null) {
      accountsAhead = messageStore.accounts.copyForLeader();
    }
    return accountsAhead;
  }

  boolean hasAccount(final String tenant) {
    return !(accountsAhead == null && messageStore.accounts.isEmpty())
        && accountsAhead().accountOf(tenant) != null;
  }

  /** Log time for what is proposed in this turn, in milliseconds. */
  long logTimeMs() {
    return accountsAhead().logTimeMs(context.nowMs());
  }

  /**
   * Decides about one message.
   *
   * @param inTurn whether it has waited for its turn to borrow, behind all messages that are paid
   *     for
   */
  Decision decide(final String tenant, final long stampMs, final boolean inTurn) {
    final BorrowingAccount account = accountsAhead().accountOf(tenant);
    account.refill(stampMs);
    if (!inTurn && waitingByTenant.containsKey(tenant)) {
      // A tenant's messages keep their order.
      return waitOrDeny(tenant);
    }
    if (account.canPay()) {
      atLimit.remove(tenant);
      return Decision.PAY;
    }
    if (!account.canBorrow()) {
      if (atLimit.add(tenant)) {
        LogEvent.BORROWING_LIMIT_REACHED.info(
            tenant + " owes " + account.debt / BorrowingAccount.THOUSANDTHS);
      }
      return Decision.DENY;
    }
    atLimit.remove(tenant);
    if (!inTurn) {
      return waitOrDeny(tenant);
    }
    // Lent only while it delays nobody else.
    return inFlight < MAX_IN_FLIGHT_TO_LEND
            && raftNode.commitTracker().oldestPendingWriteMs() < MAX_DISK_LAG_TO_LEND_MS
        ? Decision.BORROW
        : Decision.DENY;
  }

  private Decision waitOrDeny(final String tenant) {
    final ArrayDeque<Runnable> waiting = waitingByTenant.get(tenant);
    return waiting == null || waiting.size() < MAX_WAITING_TO_BORROW
        ? Decision.WAIT
        : Decision.DENY;
  }

  /** Decides again when it is this tenant's turn to borrow. */
  void await(final String tenant, final Runnable look) {
    waitingByTenant.computeIfAbsent(tenant, key -> new ArrayDeque<>()).add(look);
    if (!turnScheduled) {
      turnScheduled = true;
      context.execute(this::runTurn);
    }
  }

  /** Tenants in turn, a message each; what arrived meanwhile and pays goes between two turns. */
  private void runTurn() {
    turnScheduled = false;
    for (int left = MAX_BORROWS_PER_TURN; left > 0 && !waitingByTenant.isEmpty(); left--) {
      final String tenant = waitingByTenant.keySet().iterator().next();
      final ArrayDeque<Runnable> waiting = waitingByTenant.remove(tenant);
      final Runnable look = waiting.poll();
      if (!waiting.isEmpty()) {
        waitingByTenant.put(tenant, waiting);
      }
      look.run();
    }
    if (!waitingByTenant.isEmpty() && !turnScheduled) {
      turnScheduled = true;
      context.execute(this::runTurn);
    }
  }

  /**
   * One more is on its way through the log, charged to that tenant; empty for one that is charged
   * to no account.
   */
  void onProposed(final String tenant, final long stampMs) {
    inFlight++;
    if (!tenant.isEmpty()) {
      accountsAhead().charge(0, tenant, stampMs);
    }
  }

  void onSettled() {
    inFlight--;
  }

  /**
   * What was in flight is the log's matter now, and the next leader's accounts are those that are
   * applied.
   */
  void onLeaderChange() {
    messageStore.rateLimiter.onLeaderChange();
    accountsAhead = null;
    waitingByTenant.clear();
    atLimit.clear();
    inFlight = 0;
  }

  /**
   * Enters what has changed: terms of a new configuration, or that time has passed while somebody
   * owes.
   */
  public void proposeChanges(final Configuration configuration) {
    if (!raftNode.isReadyLeader()
        || configuration == null
        || accountsAhead == null
            && messageStore.accounts.isEmpty()
            && configuration.tenants().stream().noneMatch(tenant -> tenant.borrowMax() > 0)) {
      return;
    }
    final long stampMs = logTimeMs();
    boolean owes = false;
    boolean paidOff = false;
    for (final BorrowingAccount account : accountsAhead().all()) {
      final long before = account.debt;
      account.refill(stampMs);
      owes |= before > 0;
      paidOff |= before > 0 && account.debt == 0;
    }
    final List<BorrowingTerms> wanted = wantedTerms(configuration);
    final BorrowingTerms.TermsChange change = new BorrowingTerms.TermsChange();
    if (configuration.version() >= accountsAhead().version() && !areInForce(wanted)) {
      change.version = configuration.version();
      change.terms = wanted;
    } else if (!paidOff && !(owes && context.nowMs() - lastChangeMs > DEBT_UPDATE_INTERVAL_MS)) {
      return;
    }
    lastChangeMs = context.nowMs();
    final StoredMessage entry = new StoredMessage();
    entry.logTimeMs = stampMs;
    entry.termsChange = change;
    if (raftNode.propose(MessageStore.encode(entry), done -> {})) {
      accountsAhead().applyTerms(0, change, stampMs);
    }
  }

  private boolean areInForce(final List<BorrowingTerms> wanted) {
    int known = 0;
    for (final BorrowingAccount account : accountsAhead().all()) {
      known++;
      if (wanted.stream().noneMatch(account.terms::sameTerms)) {
        return false;
      }
    }
    return known == wanted.size();
  }

  /**
   * A tenant that may borrow has an account, and one that still owes keeps it, whatever the
   * configuration says.
   */
  private List<BorrowingTerms> wantedTerms(final Configuration configuration) {
    final List<BorrowingTerms> wanted = new ArrayList<>();
    for (final Configuration.Tenant tenant : configuration.tenants()) {
      final BorrowingAccount account = accountsAhead().accountOf(tenant.name());
      if (tenant.borrowMax() > 0 || account != null && account.debt > 0) {
        wanted.add(messageStore.rateLimiter.borrowingTerms(tenant, context.nowMs()));
      }
    }
    for (final BorrowingAccount account : accountsAhead().all()) {
      if (account.debt > 0 && configuration.tenant(account.terms.tenant) == null) {
        final BorrowingTerms endedTerms = new BorrowingTerms();
        endedTerms.tenant = account.terms.tenant;
        wanted.add(endedTerms);
      }
    }
    return wanted;
  }
}
