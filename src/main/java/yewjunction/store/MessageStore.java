package yewjunction.store;

import static yewjunction.limits.QuotaLimits.RETENTION_CHECK_INTERVAL_MS;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.common.AgentContext;
import yewjunction.control.AccountBalance;
import yewjunction.control.Configuration;
import yewjunction.control.FormerRetention;
import yewjunction.raft.StateMachine;
import yewjunction.settings.Settings;

/**
 * The stored messages of one store, the state machine that the log of the stores drives. A
 * message's index in the log is its position in its topic, and the cursor that clients hold.
 * Messages are dropped once the longest retention that their topic had in their time is over.
 *
 * <p>All calls on the agent's thread.
 */
public final class MessageStore implements StateMachine {
  private static final Schema<StoredMessage> MESSAGE_SCHEMA =
      RuntimeSchema.getSchema(StoredMessage.class);
  private static final Schema<Snapshot> SNAPSHOT_SCHEMA = RuntimeSchema.getSchema(Snapshot.class);
  private final AgentContext context;
  private final Listener listener;
  private final TreeMap<Long, StoredMessage> byIndex = new TreeMap<>();
  private final Map<String, TopicMessages> byTopic = new HashMap<>();
  final AcceptedNumbers acceptedNumbers = new AcceptedNumbers();
  final TenantRateLimiter rateLimiter;
  final BorrowingAccounts accounts;
  private final RouteRetentions retentions = new RouteRetentions();
  private long lastDroppedIndex;

  /** The whole state, as a snapshot holds it; encoded by position. */
  static final class Snapshot {
    List<StoredMessage> messages = new ArrayList<>();
    List<AcceptedNumbers.SenderHistory> senderHistories = new ArrayList<>();
    List<TopicFloor> floors = new ArrayList<>();
    long lastDroppedIndex;

    /** Null as long as nobody borrows ahead. */
    BorrowingAccounts.Snapshot accounts;
  }

  /** Up to where a topic's messages have been dropped. */
  static final class TopicFloor {
    String topic = "";
    long lastDroppedIndex;
  }

  /** Is notified of what was applied here. */
  public interface Listener {
    /**
     * Whether this store admitted the message itself in its current leadership, so that it is
     * counted already.
     */
    boolean isAdmittedHere(StoredMessage message);

    /** All entries up to this index are applied. */
    void onCommitted(long commit);

    /** Somebody else leads the group, or nobody (null); self when it is this member. */
    void onLeaderChange(String identity, boolean self);
  }

  /** An empty store, which drops expired messages from now on. */
  public MessageStore(
      final AgentContext context, final Listener listener, final Settings settings) {
    this.context = context;
    rateLimiter =
        new TenantRateLimiter(
            settings.quotaWindowS(),
            settings.quotaExcess(),
            settings.quotaSlack(),
            context.nowMs());
    this.listener = listener;
    accounts =
        new BorrowingAccounts(
            (tenant, thousandths, endedMs) ->
                rateLimiter.continueFrom(tenant, thousandths, endedMs, context.nowMs()));
    context.scheduleAtFixedRate(RETENTION_CHECK_INTERVAL_MS, this::dropExpired);
  }

  /** How long messages are kept, and how much tenants may send, from now on. */
  public void setConfiguration(final Configuration newConfiguration) {
    rateLimiter.setConfiguration(newConfiguration);
    retentions.setConfiguration(newConfiguration);
    updateRouteRetentions();
  }

  /**
   * Earlier configurations, which this store may never have seen, kept messages for longer. Comes
   * before the configuration that ended it.
   */
  public void addFormerRetentions(final List<FormerRetention> former) {
    retentions.addFormer(former, context.nowMs());
    updateRouteRetentions();
  }

  private void updateRouteRetentions() {
    byTopic.forEach(
        (topic, messages) -> messages.setRouteRetention(retentions.retentionMsOf(topic)));
  }

  static byte[] encode(final StoredMessage message) {
    return ProtostuffIOUtil.toByteArray(message, MESSAGE_SCHEMA, LinkedBuffer.allocate(512));
  }

  @Override
  public void apply(final long index, final byte[] data) {
    final StoredMessage message = MESSAGE_SCHEMA.newMessage();
    ProtostuffIOUtil.mergeFrom(data, message, MESSAGE_SCHEMA);
    message.index = index;
    message.receivedMs = context.nowMs();
    accounts.apply(index, message, message.receivedMs);
    if (message.termsChange != null) {
      // An entry that changes accounts only: no client sent it, and none gets it.
      return;
    }
    acceptedNumbers.accept(
        message.client, message.topic, message.sequenceNumber, message.receivedMs);
    if (message.logTimeMs == null && !listener.isAdmittedHere(message)) {
      rateLimiter.recordAcceptedElsewhere(message.tenant, message.receivedMs);
    }
    put(message);
  }

  private void put(final StoredMessage message) {
    byIndex.put(message.index, message);
    messagesOf(message.topic).add(message);
  }

  private TopicMessages messagesOf(final String topic) {
    return byTopic.computeIfAbsent(topic, key -> new TopicMessages(retentions.retentionMsOf(key)));
  }

  /** The messages with an index above the first and up to the second argument, in order. */
  public Collection<StoredMessage> between(final long after, final long upTo) {
    return after >= upTo ? List.of() : byIndex.subMap(after, false, upTo, true).values();
  }

  /** A topic's messages after a position, or null when one of them has been dropped. */
  public List<StoredMessage> messagesAfter(final String topic, final long position) {
    final TopicMessages topicMessages = byTopic.get(topic);
    return topicMessages == null ? List.of() : topicMessages.after(position);
  }

  /** For the log: up to where a topic's messages were dropped, and why. */
  public String describeDropped(final String topic) {
    final TopicMessages topicMessages = byTopic.get(topic);
    return topicMessages == null ? "nothing was dropped" : topicMessages.describeDropped();
  }

  /** The index of the last message that was dropped. */
  public long lastDroppedIndex() {
    return lastDroppedIndex;
  }

  /** What tenants that borrow ahead hold and owe here. */
  public List<AccountBalance> balances() {
    return accounts.balances();
  }

  private void dropExpired() {
    final long nowMs = context.nowMs();
    acceptedNumbers.removeExpired(nowMs);
    if (retentions.removeExpired(nowMs)) {
      updateRouteRetentions();
    }
    // Without a configuration nothing may be dropped: how long messages are kept is not known.
    if (retentions.isKnown()) {
      byTopic.values().forEach(messages -> dropExpired(messages, nowMs));
    }
  }

  private void dropExpired(final TopicMessages messages, final long nowMs) {
    StoredMessage dropped = messages.dropOldestExpired(nowMs, retentions.longestMs());
    while (dropped != null) {
      byIndex.remove(dropped.index);
      lastDroppedIndex = Math.max(lastDroppedIndex, dropped.index);
      dropped = messages.dropOldestExpired(nowMs, retentions.longestMs());
    }
  }

  @Override
  public byte[] snapshot() {
    final Snapshot snapshot = new Snapshot();
    snapshot.messages.addAll(byIndex.values());
    snapshot.senderHistories = acceptedNumbers.all();
    snapshot.lastDroppedIndex = lastDroppedIndex;
    snapshot.accounts = accounts.snapshot();
    byTopic.forEach(
        (topic, topicMessages) -> {
          if (topicMessages.lastDroppedIndex() > 0) {
            final TopicFloor one = new TopicFloor();
            one.topic = topic;
            one.lastDroppedIndex = topicMessages.lastDroppedIndex();
            snapshot.floors.add(one);
          }
        });
    return ProtostuffIOUtil.toByteArray(snapshot, SNAPSHOT_SCHEMA, LinkedBuffer.allocate(64 << 10));
  }

  @Override
  public void restore(final long index, final byte[] state) {
    final Snapshot snapshot = SNAPSHOT_SCHEMA.newMessage();
    ProtostuffIOUtil.mergeFrom(state, snapshot, SNAPSHOT_SCHEMA);
    byIndex.clear();
    byTopic.clear();
    lastDroppedIndex = snapshot.lastDroppedIndex;
    final long nowMs = context.nowMs();
    for (final StoredMessage message : snapshot.messages) {
      message.receivedMs = nowMs;
      put(message);
    }
    snapshot.floors.forEach(
        one -> messagesOf(one.topic).restoreLastDroppedIndex(one.lastDroppedIndex));
    acceptedNumbers.restore(snapshot.senderHistories, nowMs);
    accounts.restore(snapshot.accounts, nowMs);
    rateLimiter.capAfterRestore();
  }

  @Override
  public void onLeaderChange(final String identity, final boolean self) {
    listener.onLeaderChange(identity, self);
  }

  @Override
  public void onCommitted(final long commit) {
    listener.onCommitted(commit);
  }
}
