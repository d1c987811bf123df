package yewjunction.store;

import static yewjunction.limits.QuotaLimits.RETENTION_CHECK_INTERVAL_MS;
import static yewjunction.limits.QuotaLimits.RETENTION_SLACK_MS;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.common.AgentContext;
import yewjunction.control.AccountBalance;
import yewjunction.control.Configuration;
import yewjunction.raft.StateMachine;
import yewjunction.settings.Settings;

/** The kept messages of one vault, driven by the vaults' ledger. */
public final class MessageStore implements StateMachine {
  private static final Schema<StoredMessage> MESSAGES =
      RuntimeSchema.getSchema(StoredMessage.class);
  private static final Schema<Snapshot> IMAGES = RuntimeSchema.getSchema(Snapshot.class);
  private final AgentContext context;
  private final Listener watcher;
  private final TreeMap<Long, StoredMessage> byIndex = new TreeMap<>();
  private final Map<String, TopicMessages> byTopic = new HashMap<>();
  final AcceptedNumbers acceptedNumbers = new AcceptedNumbers();
  final TenantRateLimiter rateLimiter;
  final BorrowingAccounts accounts;
  private Configuration configuration;
  private long floor;

  /** A topic's messages and the index of the last one dropped. */
  private static final class TopicMessages {
    final ArrayDeque<StoredMessage> messages = new ArrayDeque<>();
    long floor;
  }

  static final class Snapshot {
    List<StoredMessage> messages = new ArrayList<>();
    List<AcceptedNumbers.SenderHistory> tracks = new ArrayList<>();
    List<TopicFloor> floors = new ArrayList<>();
    long floor;

    /** Null while nobody borrows ahead. */
    BorrowingAccounts.Snapshot accounts;
  }

  static final class TopicFloor {
    String topic = "";
    long index;
  }

  /** Told of what is new here. */
  public interface Listener {
    /** Whether this vault admitted it in its present leadership, so that it is counted already. */
    boolean admittedHere(StoredMessage message);

    void settledTo(long commit);

    void leaderIs(String identity, boolean self);
  }

  public MessageStore(final AgentContext context, final Listener watcher, final Settings settings) {
    this.context = context;
    rateLimiter =
        new TenantRateLimiter(
            settings.quotaWindowS(),
            settings.quotaExcess(),
            settings.quotaSlack(),
            context.nowMs());
    this.watcher = watcher;
    accounts =
        new BorrowingAccounts(
            (tenant, tokens) -> rateLimiter.continued(tenant, tokens, context.nowMs()));
    context.every(RETENTION_CHECK_INTERVAL_MS, this::sweep);
  }

  public void charter(final Configuration newConfiguration) {
    configuration = newConfiguration;
    rateLimiter.charter(newConfiguration);
  }

  static byte[] bytes(final StoredMessage message) {
    return ProtostuffIOUtil.toByteArray(message, MESSAGES, LinkedBuffer.allocate(512));
  }

  @Override
  public void apply(final long index, final byte[] data) {
    final StoredMessage message = MESSAGES.newMessage();
    ProtostuffIOUtil.mergeFrom(data, message, MESSAGES);
    message.index = index;
    message.atMs = context.nowMs();
    accounts.apply(index, message, message.atMs);
    if (message.change != null) {
      // Of the accounts alone: no client sent it, and none gets it.
      return;
    }
    acceptedNumbers.accept(message.client, message.topic, message.number, message.atMs);
    if (message.stampMs == null && !watcher.admittedHere(message)) {
      rateLimiter.count(message.tenant, message.atMs);
    }
    put(message);
  }

  private void put(final StoredMessage message) {
    byIndex.put(message.index, message);
    byTopic.computeIfAbsent(message.topic, key -> new TopicMessages()).messages.add(message);
  }

  /** Messages with an index above the one and up to the other, in order. */
  public Collection<StoredMessage> between(final long after, final long upTo) {
    return after >= upTo ? List.of() : byIndex.subMap(after, false, upTo, true).values();
  }

  /** A topic's messages behind a position, or null when one behind it was dropped. */
  public List<StoredMessage> behind(final String topic, final long position) {
    final TopicMessages topicMessages = byTopic.get(topic);
    if (topicMessages == null) {
      return List.of();
    }
    if (topicMessages.floor > position) {
      return null;
    }
    final List<StoredMessage> found = new ArrayList<>();
    for (final StoredMessage message : topicMessages.messages) {
      if (message.index > position) {
        found.add(message);
      }
    }
    return found;
  }

  /** The index of the last message that was dropped. */
  public long floor() {
    return floor;
  }

  /** What tenants that borrow ahead hold and owe here. */
  public List<AccountBalance> balances() {
    return accounts.balances();
  }

  private void sweep() {
    final long nowMs = context.nowMs();
    acceptedNumbers.sweep(nowMs);
    byTopic.forEach(
        (topic, topicMessages) -> {
          final long keepMs = keepMs(topic);
          while (!topicMessages.messages.isEmpty()
              && nowMs - topicMessages.messages.peek().atMs > keepMs) {
            final StoredMessage dropped = topicMessages.messages.poll();
            byIndex.remove(dropped.index);
            topicMessages.floor = dropped.index;
            floor = Math.max(floor, dropped.index);
          }
        });
  }

  private long keepMs(final String topic) {
    final Configuration.Route route = configuration == null ? null : configuration.space(topic);
    // Without a configuration nothing may be dropped; of a space that is gone nothing is owed.
    return configuration == null
        ? Long.MAX_VALUE
        : (route == null ? 0 : route.keepMs()) + RETENTION_SLACK_MS;
  }

  @Override
  public byte[] snapshot() {
    final Snapshot snapshot = new Snapshot();
    snapshot.messages.addAll(byIndex.values());
    snapshot.tracks = acceptedNumbers.all();
    snapshot.floor = floor;
    snapshot.accounts = accounts.saved();
    byTopic.forEach(
        (topic, topicMessages) -> {
          if (topicMessages.floor > 0) {
            final TopicFloor one = new TopicFloor();
            one.topic = topic;
            one.index = topicMessages.floor;
            snapshot.floors.add(one);
          }
        });
    return ProtostuffIOUtil.toByteArray(snapshot, IMAGES, LinkedBuffer.allocate(64 << 10));
  }

  @Override
  public void restore(final long index, final byte[] state) {
    final Snapshot snapshot = IMAGES.newMessage();
    ProtostuffIOUtil.mergeFrom(state, snapshot, IMAGES);
    byIndex.clear();
    byTopic.clear();
    floor = snapshot.floor;
    final long nowMs = context.nowMs();
    for (final StoredMessage message : snapshot.messages) {
      message.atMs = nowMs;
      put(message);
    }
    snapshot.floors.forEach(
        one -> byTopic.computeIfAbsent(one.topic, key -> new TopicMessages()).floor = one.index);
    acceptedNumbers.restore(snapshot.tracks, nowMs);
    accounts.restore(snapshot.accounts, nowMs);
    rateLimiter.forget();
  }

  @Override
  public void onLeaderChange(final String identity, final boolean self) {
    watcher.leaderIs(identity, self);
  }

  @Override
  public void onCommitted(final long commit) {
    watcher.settledTo(commit);
  }
}
