package yewjunction.fanout;

import static yewjunction.limits.FanoutLimits.RETURN_TO_OWN_ZONE_MS;
import static yewjunction.limits.FanoutLimits.STREAM_HEARTBEAT_INTERVAL_MS;
import static yewjunction.limits.FanoutLimits.STREAM_TIMEOUT_MS;

import java.util.List;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.fanout.FanoutMessages.AttachRequest;
import yewjunction.fanout.FanoutMessages.AttachResponse;
import yewjunction.fanout.FanoutMessages.Heartbeat;
import yewjunction.fanout.FanoutMessages.ReplayResponse;
import yewjunction.fanout.FanoutMessages.StreamBatch;
import yewjunction.store.StoredMessage;
import yewjunction.subscription.AddWinsSet;

/**
 * An edge's side of its stream: attaches to a store, follows the stream without a gap, and goes on
 * to another store when it ends, from the index it has reached.
 *
 * <p>All calls and callbacks on the agent's thread.
 */
public final class StreamClient {
  private final AgentContext context;
  private final PeerTransport transport;
  private final AddWinsSet subscriptions;
  private final SubscriptionSync sync;
  private final SubscriptionSyncClient syncClient;
  private final Supplier<List<String>> stores;
  private final Listener listener;
  private final String node;
  private PeerConnection server;
  private boolean attached;
  private long lastIndex = -1;
  private long lastContactMs;
  private long detachedMs;
  private long foreignSinceMs;
  private int attempt;
  private int refusals;
  private String leader = "";

  /** Is notified of what comes from the store. */
  public interface Listener {
    /** A message, in the order of the log. */
    void onMessage(StoredMessage message);

    /** Older messages of one subscription, or that the position is no longer kept. */
    void onReplay(
        long request, boolean expired, long position, List<StoredMessage> behind, boolean more);

    /** Who leads the stores now. */
    void onLeaderChange(String address);

    /** The store knows a leader at present. */
    void onLeaderReachable();

    /** A store serves this edge now: what is unanswered has to be requested again. */
    void onAttached();

    /**
     * Messages that this edge should have had are no longer kept: its clients have to resume by
     * their cursors.
     */
    void onStreamGap();
  }

  /**
   * Creates a client that is attached to no store.
   *
   * @param stores their addresses, those of the own zone first
   * @param changed called when states of the set may have been merged
   */
  public StreamClient(
      final AgentContext context,
      final PeerTransport transport,
      final AddWinsSet subscriptions,
      final String node,
      final Supplier<List<String>> stores,
      final Listener listener,
      final Runnable changed) {
    this.context = context;
    this.transport = transport;
    this.subscriptions = subscriptions;
    this.node = node;
    this.stores = stores;
    this.listener = listener;
    sync =
        new SubscriptionSync(
            context, transport, subscriptions, () -> List.of(subscriptions.self()), changed);
    syncClient =
        new SubscriptionSyncClient(
            context, transport, subscriptions, sync, () -> attached ? server : null, changed);
    detachedMs = context.nowMs();
    transport.onMessage(AttachResponse.class, this::onAttachResponse);
    transport.onMessage(StreamBatch.class, this::onStreamBatch);
    transport.onMessage(ReplayResponse.class, this::onReplayResponse);
    transport.onClose(this::onClose);
    context.scheduleAtFixedRate(STREAM_HEARTBEAT_INTERVAL_MS, this::heartbeat);
    context.scheduleAtFixedRate(
        STREAM_HEARTBEAT_INTERVAL_MS / 3,
        () -> {
          // Without a store clients wait: it is looked for more often than heartbeats are sent.
          if (server != null && context.nowMs() - lastContactMs > STREAM_TIMEOUT_MS) {
            // A machine that is cut off resets no connection: silence is the only sign.
            detach();
            attempt++;
          }
          if (server == null) {
            refusals = 0;
            attach();
          }
        });
  }

  /** Milliseconds without a store, 0 while attached. */
  public long detachedMs() {
    return attached ? 0 : context.nowMs() - detachedMs;
  }

  /** Address of the leading store as far as is known, else empty. */
  public String leader() {
    return leader;
  }

  private void heartbeat() {
    final long nowMs = context.nowMs();
    refusals = 0;
    if (attached) {
      final Heartbeat heartbeat = new Heartbeat();
      heartbeat.lastIndex = lastIndex;
      server.send(heartbeat);
      returnToOwnZone(nowMs);
    }
  }

  /** Goes back to the store of the own zone once that has been up for a while. */
  private void returnToOwnZone(final long nowMs) {
    final List<String> addresses = stores.get();
    if (addresses.isEmpty() || addresses.get(0).equals(server.remoteAddress())) {
      foreignSinceMs = nowMs;
    } else if (nowMs - foreignSinceMs > RETURN_TO_OWN_ZONE_MS) {
      foreignSinceMs = nowMs;
      attempt = 0;
      detach();
      attach();
    }
  }

  /** Attaches to the next store in turn, unless it is attached already. */
  public void attach() {
    final List<String> addresses = stores.get();
    if (subscriptions.self() == 0 || addresses.isEmpty() || server != null) {
      return;
    }
    server = transport.connect(addresses.get(Math.floorMod(attempt, addresses.size())));
    lastContactMs = context.nowMs();
    // The edge's own state of the set is sent first, so that the stream starts with all its
    // subscriptions.
    sync.sendStates(
        server, List.of(subscriptions.self()), subscriptions.digest(subscriptions.self()));
    final AttachRequest request = new AttachRequest();
    request.replica = subscriptions.self();
    request.node = node;
    request.lastIndex = lastIndex;
    server.send(request);
  }

  /** This edge's side of the exchange of the set. */
  public SubscriptionSyncClient syncClient() {
    return syncClient;
  }

  /** Attaches anew under the new replica id, as soon as there is one. */
  public void onReplicaIdChanged() {
    detach();
    attach();
  }

  private void detach() {
    if (server != null) {
      final PeerConnection left = server;
      server = null;
      if (attached) {
        attached = false;
        detachedMs = context.nowMs();
        LogEvent.STORE_DETACHED.info(left.remoteAddress());
      }
      // Closed, so that nothing of the old stream arrives any more.
      left.close();
    }
  }

  private void onClose(final PeerConnection connection) {
    if (connection == server) {
      // The fault may lie with the connection alone: the same store is asked first, and another one
      // only if it does not take this edge again.
      if (!attached) {
        attempt++;
      }
      detach();
      attach();
    }
  }

  private void onAttachResponse(final PeerConnection connection, final AttachResponse response) {
    if (connection != server) {
      return;
    }
    lastContactMs = context.nowMs();
    if (!response.accepted) {
      detach();
      attempt++;
      // Each store is asked once a heartbeat interval: the next one at once, the same one a little
      // later.
      if (++refusals < stores.get().size()) {
        attach();
      }
      return;
    }
    attached = true;
    foreignSinceMs = lastContactMs;
    LogEvent.STORE_ATTACHED.info(connection.remoteAddress() + " from " + response.startIndex);
    final boolean gap = lastIndex >= 0 && response.startIndex > lastIndex;
    lastIndex = response.startIndex;
    onLeaderHint(response.leader);
    if (gap) {
      LogEvent.STREAM_GAP.warn("up to " + lastIndex);
      listener.onStreamGap();
    }
    listener.onAttached();
  }

  private void onLeaderHint(final String address) {
    if (!address.isEmpty() && !address.equals(leader)) {
      leader = address;
      listener.onLeaderChange(address);
    }
  }

  private void onStreamBatch(final PeerConnection connection, final StreamBatch batch) {
    if (connection != server || !attached) {
      return;
    }
    lastContactMs = context.nowMs();
    // Each batch names the index before it: after a gap the edge attaches anew.
    if (batch.previousIndex != lastIndex) {
      LogEvent.STREAM_GAP.warn("at " + lastIndex + ", piece from " + batch.previousIndex);
      detach();
      attach();
      return;
    }
    batch.messages.forEach(listener::onMessage);
    lastIndex = batch.throughIndex;
    onLeaderHint(batch.leader);
    if (!batch.leader.isEmpty()) {
      listener.onLeaderReachable();
    }
  }

  private void onReplayResponse(final PeerConnection connection, final ReplayResponse response) {
    if (connection == server && attached) {
      lastContactMs = context.nowMs();
      listener.onReplay(
          response.requestId,
          response.expired,
          response.position,
          response.messages,
          response.more);
    }
  }
}
