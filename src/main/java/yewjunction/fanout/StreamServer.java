package yewjunction.fanout;

import static yewjunction.common.ControlLimits.HOME_BEHIND_MS;
import static yewjunction.common.Limits.FLOW_ITEMS;
import static yewjunction.common.Limits.HOME_BEAT_MS;
import static yewjunction.common.Limits.HOME_SILENCE_MS;
import static yewjunction.common.Limits.REPLAY_PIECE_BYTES;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.fanout.FanoutMessages.AttachRequest;
import yewjunction.fanout.FanoutMessages.AttachResponse;
import yewjunction.fanout.FanoutMessages.Heartbeat;
import yewjunction.fanout.FanoutMessages.ReplayRequest;
import yewjunction.fanout.FanoutMessages.ReplayResponse;
import yewjunction.fanout.FanoutMessages.StreamBatch;
import yewjunction.fanout.FanoutMessages.SubscribeRequest;
import yewjunction.raft.RaftNode;
import yewjunction.store.MessageStore;
import yewjunction.store.StoredMessage;
import yewjunction.subscription.AddWinsSet;

/** A vault as the home of edges: sends each what its part of the set asks for. */
public final class StreamServer {
  private final AgentContext pulse;
  private final RaftNode ledger;
  private final MessageStore cellar;
  private final AddWinsSet weave;
  private final Map<PeerConnection, AttachedEdge> ports = new LinkedHashMap<>();
  private long ledMs;
  private boolean closing;

  /** One attached edge. */
  private static final class AttachedEdge {
    String node;
    long replica;

    /** The edge was told of everything up to here. */
    long sent;

    /** Up to here nothing else is wanted. */
    long looked;

    /** Instances told ahead of the set, by topic; used only until w covers them. */
    final Map<String, Long> early = new HashMap<>();
  }

  public StreamServer(
      final AgentContext pulse,
      final PeerTransport post,
      final RaftNode ledger,
      final MessageStore cellar,
      final AddWinsSet weave) {
    this.pulse = pulse;
    this.ledger = ledger;
    this.cellar = cellar;
    this.weave = weave;
    post.on(AttachRequest.class, this::attach);
    post.on(SubscribeRequest.class, this::notice);
    post.on(ReplayRequest.class, this::further);
    post.on(Heartbeat.class, (link, word) -> {});
    post.onClose(
        link -> {
          final AttachedEdge port = ports.remove(link);
          if (port != null) {
            LogEvent.EDGE_LOST.info(port.node);
          }
        });
    pulse.every(HOME_BEAT_MS, this::beat);
  }

  /** The attached edges' replicas. */
  Map<PeerConnection, Long> edges() {
    final Map<PeerConnection, Long> edges = new LinkedHashMap<>();
    ports.forEach((link, port) -> edges.put(link, port.replica));
    return edges;
  }

  private String leader() {
    return ledger.leader() == null ? "" : RaftNode.address(ledger.leader());
  }

  private boolean serves() {
    return ledger.leader() != null && ledger.membership().behindMs() <= HOME_BEHIND_MS;
  }

  private void attach(final PeerConnection link, final AttachRequest attach) {
    final AttachResponse welcome = new AttachResponse();
    // One that hears no leader, or lags behind what the edge has seen, is a poor home.
    welcome.accepted = !closing && serves() && ledger.applied() >= attach.last;
    welcome.leader = leader();
    if (welcome.accepted) {
      final AttachedEdge port = new AttachedEdge();
      port.node = attach.node;
      port.replica = attach.replica;
      port.sent = attach.last < cellar.floor() ? ledger.applied() : attach.last;
      port.looked = port.sent;
      welcome.start = port.sent;
      ports.put(link, port);
      LogEvent.EDGE_ATTACHED.info(port.node + " from " + port.sent);
      link.send(welcome);
      flow(link, port, false);
    } else {
      link.send(welcome);
    }
  }

  private void notice(final PeerConnection link, final SubscribeRequest notice) {
    final AttachedEdge port = ports.get(link);
    if (port == null) {
      return;
    }
    // The stream first: what is behind the position and on its way already stays in order.
    flow(link, port, false);
    // The client has come to this edge: what it held at others is cancelled, which the edge itself
    // may not know of.
    weave.takenOver(notice.topic, notice.client, port.replica);
    port.early.merge(notice.topic, notice.instance, Math::max);
    final ReplayResponse taken = new ReplayResponse();
    taken.request = notice.request;
    taken.position = Math.max(notice.position, ledger.applied());
    if (notice.position >= 0) {
      fill(taken, notice.topic, notice.position, taken.position);
    }
    link.send(taken);
  }

  /** A piece of bounded size; the asker comes back for the next one when it has room for it. */
  private void fill(
      final ReplayResponse taken, final String topic, final long after, final long upTo) {
    final List<StoredMessage> behind = cellar.behind(topic, after);
    taken.expired = behind == null;
    int bytes = 0;
    for (final StoredMessage message : behind == null ? List.<StoredMessage>of() : behind) {
      if (message.index <= upTo) {
        taken.more = bytes > REPLAY_PIECE_BYTES;
        if (taken.more) {
          break;
        }
        bytes += message.body.length;
        taken.messages.add(message);
      }
    }
  }

  private void further(final PeerConnection link, final ReplayRequest further) {
    if (!ports.containsKey(link)) {
      return;
    }
    // Named by another home that was ahead of this one: answered once as much is applied here.
    if (ledger.applied() < further.upTo) {
      pulse.after(HOME_BEAT_MS / 10, () -> further(link, further));
      return;
    }
    final ReplayResponse taken = new ReplayResponse();
    taken.request = further.request;
    taken.position = further.upTo;
    fill(taken, further.topic, further.after, further.upTo);
    link.send(taken);
  }

  private boolean wants(final AttachedEdge port, final String topic) {
    if (weave.reaches(topic, port.replica)) {
      return true;
    }
    final Long early = port.early.get(topic);
    if (early == null) {
      return false;
    }
    if (early <= weave.observed(port.replica)) {
      // The set has caught up and says no: the subscription was given up since.
      port.early.remove(topic);
      return false;
    }
    return true;
  }

  public void settled() {
    ports.forEach((link, port) -> flow(link, port, false));
  }

  private void flow(final PeerConnection link, final AttachedEdge port, final boolean always) {
    final long upTo = ledger.applied();
    List<StoredMessage> wanted = new ArrayList<>();
    for (final StoredMessage message : cellar.between(port.looked, upTo)) {
      if (wants(port, message.topic)) {
        wanted.add(message);
        if (wanted.size() >= FLOW_ITEMS) {
          send(link, port, message.index, wanted);
          wanted = new ArrayList<>();
        }
      }
    }
    port.looked = Math.max(port.looked, upTo);
    if (!wanted.isEmpty() || always) {
      send(link, port, port.looked, wanted);
    }
  }

  private void send(
      final PeerConnection link,
      final AttachedEdge port,
      final long upTo,
      final List<StoredMessage> messages) {
    final StreamBatch flow = new StreamBatch();
    flow.from = port.sent;
    flow.upTo = upTo;
    flow.leader = leader();
    flow.messages = messages;
    port.sent = upTo;
    link.send(flow);
  }

  private void beat() {
    final long nowMs = pulse.nowMs();
    if (serves()) {
      ledMs = nowMs;
    }
    // Cut off from the others, or behind them, for long: the edges do better elsewhere.
    if (nowMs - ledMs > 2 * HOME_SILENCE_MS) {
      close();
      closing = false;
    }
    ports.forEach((link, port) -> flow(link, port, true));
  }

  /** Edges hear of a new leader at once: their messages wait for it. */
  public void leaderChanged() {
    ports.forEach((link, port) -> flow(link, port, true));
  }

  /** Sends the edges elsewhere. */
  public void close() {
    closing = true;
    List.copyOf(ports.keySet()).forEach(PeerConnection::close);
  }
}
