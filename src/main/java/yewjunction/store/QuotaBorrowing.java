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
 */
public final class QuotaBorrowing {
  private final AgentContext context;
  private final RaftNode raftNode;
  private final MessageStore messageStore;
  private final Map<String, ArrayDeque<Runnable>> lanes = new LinkedHashMap<>();
  private final Set<String> atLimit = new HashSet<>();
  private BorrowingAccounts ahead;
  private boolean turning;
  private long settledMs;
  private int underWay;

  /** What an account says to one message. */
  enum Decision {
    PAYS,
    BORROWS,
    WAITS,
    DENIES
  }

  QuotaBorrowing(
      final AgentContext context, final RaftNode raftNode, final MessageStore messageStore) {
    this.context = context;
    this.raftNode = raftNode;
    this.messageStore = messageStore;
  }

  /** Only at the leader, which has applied all that others admitted before it. */
  private BorrowingAccounts ahead() {
    if (ahead == null) {
      ahead = messageStore.accounts.ahead();
    }
    return ahead;
  }

  boolean keeps(final String tenant) {
    return !(ahead == null && messageStore.accounts.none()) && ahead().of(tenant) != null;
  }

  /** Log time now: stamped on what is proposed in this turn. */
  long stampMs() {
    return ahead().timeMs(context.nowMs());
  }

  /** In turn: it is this message's turn to borrow, after all that paid. */
  Decision verdict(final String tenant, final long stampMs, final boolean inTurn) {
    final BorrowingAccount account = ahead().of(tenant);
    account.refill(stampMs);
    if (!inTurn && lanes.containsKey(tenant)) {
      // A tenant's own order never changes.
      return waits(tenant);
    }
    if (account.pays()) {
      atLimit.remove(tenant);
      return Decision.PAYS;
    }
    if (!account.lends()) {
      if (atLimit.add(tenant)) {
        LogEvent.BORROW_LIMIT.info(tenant + " owes " + account.debt / BorrowingAccount.ONE);
      }
      return Decision.DENIES;
    }
    atLimit.remove(tenant);
    if (!inTurn) {
      return waits(tenant);
    }
    // Lent only while nobody else is held up by it.
    return underWay < MAX_IN_FLIGHT_TO_LEND
            && raftNode.commitTracker().oldestPendingWriteMs() < MAX_DISK_LAG_TO_LEND_MS
        ? Decision.BORROWS
        : Decision.DENIES;
  }

  private Decision waits(final String tenant) {
    final ArrayDeque<Runnable> lane = lanes.get(tenant);
    return lane == null || lane.size() < MAX_WAITING_TO_BORROW ? Decision.WAITS : Decision.DENIES;
  }

  /** Looks again when it is this tenant's turn to borrow. */
  void await(final String tenant, final Runnable look) {
    lanes.computeIfAbsent(tenant, key -> new ArrayDeque<>()).add(look);
    if (!turning) {
      turning = true;
      context.post(this::turn);
    }
  }

  /** Tenants in turn, a message each; what arrived meanwhile and pays goes between two turns. */
  private void turn() {
    turning = false;
    for (int left = MAX_BORROWS_PER_TURN; left > 0 && !lanes.isEmpty(); left--) {
      final String tenant = lanes.keySet().iterator().next();
      final ArrayDeque<Runnable> lane = lanes.remove(tenant);
      final Runnable look = lane.poll();
      if (!lane.isEmpty()) {
        lanes.put(tenant, lane);
      }
      look.run();
    }
    if (!lanes.isEmpty() && !turning) {
      turning = true;
      context.post(this::turn);
    }
  }

  /**
   * One more is on its way through the log, charged to that tenant; empty for one that is charged
   * to no account.
   */
  void proposed(final String tenant, final long stampMs) {
    underWay++;
    if (!tenant.isEmpty()) {
      ahead().charge(0, tenant, stampMs);
    }
  }

  void settled() {
    underWay--;
  }

  /**
   * What was in flight is the log's matter now, and the next leader's accounts are those that are
   * applied.
   */
  void leaderChanged() {
    ahead = null;
    lanes.clear();
    atLimit.clear();
    underWay = 0;
  }

  /**
   * Enters what has changed: terms of a new configuration, or that time has passed while somebody
   * owes.
   */
  public void look(final Configuration configuration) {
    if (!raftNode.isReadyLeader()
        || configuration == null
        || ahead == null
            && messageStore.accounts.none()
            && configuration.tenants().stream().noneMatch(tenant -> tenant.borrowMax() > 0)) {
      return;
    }
    final long stampMs = stampMs();
    boolean owes = false;
    boolean paidOff = false;
    for (final BorrowingAccount account : ahead().all()) {
      final long before = account.debt;
      account.refill(stampMs);
      owes |= before > 0;
      paidOff |= before > 0 && account.debt == 0;
    }
    final List<BorrowingTerms> wanted = wanted(configuration);
    final BorrowingTerms.TermsChange change = new BorrowingTerms.TermsChange();
    if (configuration.version() >= ahead().version() && !inForce(wanted)) {
      change.version = configuration.version();
      change.terms = wanted;
    } else if (!paidOff && !(owes && context.nowMs() - settledMs > DEBT_UPDATE_INTERVAL_MS)) {
      return;
    }
    settledMs = context.nowMs();
    final StoredMessage entry = new StoredMessage();
    entry.stampMs = stampMs;
    entry.change = change;
    if (raftNode.propose(MessageStore.bytes(entry), done -> {})) {
      ahead().change(0, change, stampMs);
    }
  }

  private boolean inForce(final List<BorrowingTerms> wanted) {
    int known = 0;
    for (final BorrowingAccount account : ahead().all()) {
      known++;
      if (wanted.stream().noneMatch(account.terms::same)) {
        return false;
      }
    }
    return known == wanted.size();
  }

  /**
   * Whoever may borrow has an account, and whoever still owes keeps one, whatever the configuration
   * says.
   */
  private List<BorrowingTerms> wanted(final Configuration configuration) {
    final List<BorrowingTerms> wanted = new ArrayList<>();
    for (final Configuration.Tenant tenant : configuration.tenants()) {
      final BorrowingAccount account = ahead().of(tenant.name());
      if (tenant.borrowMax() > 0 || account != null && account.debt > 0) {
        wanted.add(messageStore.rateLimiter.terms(tenant, context.nowMs()));
      }
    }
    for (final BorrowingAccount account : ahead().all()) {
      if (account.debt > 0 && configuration.tenant(account.terms.tenant) == null) {
        final BorrowingTerms gone = new BorrowingTerms();
        gone.tenant = account.terms.tenant;
        wanted.add(gone);
      }
    }
    return wanted;
  }
}
