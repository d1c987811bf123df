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
 * An edge's side of its home: attaches, follows the stream without gap, moves on when the home is
 * lost.
 */
public final class StreamClient {
  private final AgentContext context;
  private final PeerTransport transport;
  private final AddWinsSet subscriptions;
  private final SubscriptionSync sync;
  private final SubscriptionSyncClient syncClient;
  private final Supplier<List<String>> stores;
  private final Listener watcher;
  private final String node;
  private PeerConnection server;
  private boolean welcomed;
  private long last = -1;
  private long heardMs;
  private long homelessMs;
  private long returnMs;
  private int attempt;
  private int denials;
  private String leader = "";

  /** Told of what comes from the home. */
  public interface Listener {
    void message(StoredMessage message);

    void taken(
        long request, boolean expired, long position, List<StoredMessage> behind, boolean more);

    void leaderIs(String address);

    /** The home hears a leader right now. */
    void leaderHeard();

    /** A home took this edge: what is still open is asked again. */
    void attached();

    /** Messages this edge should have had are gone: its clients must take up their cursors anew. */
    void gapped();
  }

  /**
   * Vaults: addresses, the own zone's first. Changed: something of the set may have been merged.
   */
  public StreamClient(
      final AgentContext context,
      final PeerTransport transport,
      final AddWinsSet subscriptions,
      final String node,
      final Supplier<List<String>> stores,
      final Listener watcher,
      final Runnable changed) {
    this.context = context;
    this.transport = transport;
    this.subscriptions = subscriptions;
    this.node = node;
    this.stores = stores;
    this.watcher = watcher;
    sync =
        new SubscriptionSync(
            context, transport, subscriptions, () -> List.of(subscriptions.self()), changed);
    syncClient =
        new SubscriptionSyncClient(
            context, transport, subscriptions, sync, () -> welcomed ? server : null, changed);
    homelessMs = context.nowMs();
    transport.on(AttachResponse.class, this::welcome);
    transport.on(StreamBatch.class, this::flow);
    transport.on(ReplayResponse.class, this::takenUp);
    transport.onClose(this::closed);
    context.every(STREAM_HEARTBEAT_INTERVAL_MS, this::beat);
    context.every(
        STREAM_HEARTBEAT_INTERVAL_MS / 3,
        () -> {
          // Without a home clients wait: looked for at a faster pace than a home is kept at.
          if (server != null && context.nowMs() - heardMs > STREAM_TIMEOUT_MS) {
            // A dark machine resets nothing: silence is all there is to go by.
            leave();
            attempt++;
          }
          if (server == null) {
            denials = 0;
            attach();
          }
        });
  }

  /** ms without a home, 0 while there is one. */
  public long homelessMs() {
    return welcomed ? 0 : context.nowMs() - homelessMs;
  }

  public String leader() {
    return leader;
  }

  private void beat() {
    final long nowMs = context.nowMs();
    denials = 0;
    if (welcomed) {
      final Heartbeat heartbeat = new Heartbeat();
      heartbeat.last = last;
      server.send(heartbeat);
      goBack(nowMs);
    }
  }

  /**
   * The own zone's vault is nearest: an edge that fled goes back once that has been up for a while.
   */
  private void goBack(final long nowMs) {
    final List<String> known = stores.get();
    if (known.isEmpty() || known.get(0).equals(server.remote())) {
      returnMs = nowMs;
    } else if (nowMs - returnMs > RETURN_TO_OWN_ZONE_MS) {
      returnMs = nowMs;
      attempt = 0;
      leave();
      attach();
    }
  }

  public void attach() {
    final List<String> known = stores.get();
    if (subscriptions.self() == 0 || known.isEmpty() || server != null) {
      return;
    }
    server = transport.dial(known.get(Math.floorMod(attempt, known.size())));
    heardMs = context.nowMs();
    // Its own part of the set comes first, so that the stream starts with all this edge's
    // subscriptions.
    sync.push(server, List.of(subscriptions.self()), subscriptions.mark(subscriptions.self()));
    final AttachRequest request = new AttachRequest();
    request.replica = subscriptions.self();
    request.node = node;
    request.last = last;
    server.send(request);
  }

  /** This edge's side of the exchange of the set. */
  public SubscriptionSyncClient weft() {
    return syncClient;
  }

  /**
   * What was said under the old name counts no more: attached anew under the new one, as soon as
   * there is one.
   */
  public void renamed() {
    leave();
    attach();
  }

  private void leave() {
    if (server != null) {
      final PeerConnection left = server;
      server = null;
      if (welcomed) {
        welcomed = false;
        homelessMs = context.nowMs();
        LogEvent.HOME_LOST.info(left.remote());
      }
      // Closed, so that nothing of the old stream can arrive any more.
      left.close();
    }
  }

  private void closed(final PeerConnection connection) {
    if (connection == server) {
      // A link that broke may be the link's own trouble: the same home is asked first, and only one
      // that
      // does not take this edge again is given up for another zone's.
      if (!welcomed) {
        attempt++;
      }
      leave();
      attach();
    }
  }

  private void welcome(final PeerConnection connection, final AttachResponse response) {
    if (connection != server) {
      return;
    }
    heardMs = context.nowMs();
    if (!response.accepted) {
      leave();
      attempt++;
      // Each vault is asked once a beat: the next one at once, the same again a little later.
      if (++denials < stores.get().size()) {
        attach();
      }
      return;
    }
    welcomed = true;
    returnMs = heardMs;
    LogEvent.HOME_ATTACHED.info(connection.remote() + " from " + response.start);
    final boolean gap = last >= 0 && response.start > last;
    last = response.start;
    hint(response.leader);
    if (gap) {
      LogEvent.STREAM_GAP.warn("up to " + last);
      watcher.gapped();
    }
    watcher.attached();
  }

  private void hint(final String address) {
    if (!address.isEmpty() && !address.equals(leader)) {
      leader = address;
      watcher.leaderIs(address);
    }
  }

  private void flow(final PeerConnection connection, final StreamBatch batch) {
    if (connection != server || !welcomed) {
      return;
    }
    heardMs = context.nowMs();
    // Each piece names its predecessor: a gap shows, and the stream is taken up anew.
    if (batch.from != last) {
      LogEvent.STREAM_GAP.warn("at " + last + ", piece from " + batch.from);
      leave();
      attach();
      return;
    }
    batch.messages.forEach(watcher::message);
    last = batch.upTo;
    hint(batch.leader);
    if (!batch.leader.isEmpty()) {
      watcher.leaderHeard();
    }
  }

  private void takenUp(final PeerConnection connection, final ReplayResponse response) {
    if (connection == server && welcomed) {
      heardMs = context.nowMs();
      watcher.taken(
          response.request, response.expired, response.position, response.messages, response.more);
    }
  }
}
