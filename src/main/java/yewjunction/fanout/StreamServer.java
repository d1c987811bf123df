package yewjunction.fanout;

import static yewjunction.limits.FanoutLimits.MAX_BATCH_MESSAGES;
import static yewjunction.limits.FanoutLimits.MAX_SERVING_LAG_MS;
import static yewjunction.limits.FanoutLimits.STREAM_HEARTBEAT_INTERVAL_MS;
import static yewjunction.limits.FanoutLimits.STREAM_TIMEOUT_MS;
import static yewjunction.limits.ReplayLimits.REPLAY_CHUNK_BYTES;

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
  private final AgentContext context;
  private final RaftNode raftNode;
  private final MessageStore messageStore;
  private final AddWinsSet subscriptions;
  private final Map<PeerConnection, AttachedEdge> attachedEdges = new LinkedHashMap<>();
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
      final AgentContext context,
      final PeerTransport transport,
      final RaftNode raftNode,
      final MessageStore messageStore,
      final AddWinsSet subscriptions) {
    this.context = context;
    this.raftNode = raftNode;
    this.messageStore = messageStore;
    this.subscriptions = subscriptions;
    transport.on(AttachRequest.class, this::attach);
    transport.on(SubscribeRequest.class, this::notice);
    transport.on(ReplayRequest.class, this::further);
    transport.on(Heartbeat.class, (connection, heartbeat) -> {});
    transport.onClose(
        connection -> {
          final AttachedEdge edge = attachedEdges.remove(connection);
          if (edge != null) {
            LogEvent.EDGE_LOST.info(edge.node);
          }
        });
    context.every(STREAM_HEARTBEAT_INTERVAL_MS, this::beat);
  }

  /** The attached edges' replicas. */
  Map<PeerConnection, Long> edges() {
    final Map<PeerConnection, Long> edges = new LinkedHashMap<>();
    attachedEdges.forEach((connection, edge) -> edges.put(connection, edge.replica));
    return edges;
  }

  private String leader() {
    return raftNode.leader() == null ? "" : RaftNode.addressOf(raftNode.leader());
  }

  private boolean serves() {
    return raftNode.leader() != null && raftNode.groupMembership().lagMs() <= MAX_SERVING_LAG_MS;
  }

  private void attach(final PeerConnection connection, final AttachRequest request) {
    final AttachResponse response = new AttachResponse();
    // One that hears no leader, or lags behind what the edge has seen, is a poor home.
    response.accepted = !closing && serves() && raftNode.appliedIndex() >= request.last;
    response.leader = leader();
    if (response.accepted) {
      final AttachedEdge edge = new AttachedEdge();
      edge.node = request.node;
      edge.replica = request.replica;
      edge.sent = request.last < messageStore.floor() ? raftNode.appliedIndex() : request.last;
      edge.looked = edge.sent;
      response.start = edge.sent;
      attachedEdges.put(connection, edge);
      LogEvent.EDGE_ATTACHED.info(edge.node + " from " + edge.sent);
      connection.send(response);
      flow(connection, edge, false);
    } else {
      connection.send(response);
    }
  }

  private void notice(final PeerConnection connection, final SubscribeRequest request) {
    final AttachedEdge edge = attachedEdges.get(connection);
    if (edge == null) {
      return;
    }
    // The stream first: what is behind the position and on its way already stays in order.
    flow(connection, edge, false);
    // The client has come to this edge: what it held at others is cancelled, which the edge itself
    // may not know of.
    subscriptions.takenOver(request.topic, request.client, edge.replica);
    edge.early.merge(request.topic, request.instance, Math::max);
    final ReplayResponse response = new ReplayResponse();
    response.request = request.request;
    response.position = Math.max(request.position, raftNode.appliedIndex());
    if (request.position >= 0) {
      fill(response, request.topic, request.position, response.position);
    }
    connection.send(response);
  }

  /** A piece of bounded size; the asker comes back for the next one when it has room for it. */
  private void fill(
      final ReplayResponse response, final String topic, final long after, final long upTo) {
    final List<StoredMessage> behind = messageStore.behind(topic, after);
    response.expired = behind == null;
    int bytes = 0;
    for (final StoredMessage message : behind == null ? List.<StoredMessage>of() : behind) {
      if (message.index <= upTo) {
        response.more = bytes > REPLAY_CHUNK_BYTES;
        if (response.more) {
          break;
        }
        bytes += message.body.length;
        response.messages.add(message);
      }
    }
  }

  private void further(final PeerConnection connection, final ReplayRequest request) {
    if (!attachedEdges.containsKey(connection)) {
      return;
    }
    // Named by another home that was ahead of this one: answered once as much is applied here.
    if (raftNode.appliedIndex() < request.upTo) {
      context.after(STREAM_HEARTBEAT_INTERVAL_MS / 10, () -> further(connection, request));
      return;
    }
    final ReplayResponse response = new ReplayResponse();
    response.request = request.request;
    response.position = request.upTo;
    fill(response, request.topic, request.after, request.upTo);
    connection.send(response);
  }

  private boolean wants(final AttachedEdge edge, final String topic) {
    if (subscriptions.reaches(topic, edge.replica)) {
      return true;
    }
    final Long early = edge.early.get(topic);
    if (early == null) {
      return false;
    }
    if (early <= subscriptions.observed(edge.replica)) {
      // The set has caught up and says no: the subscription was given up since.
      edge.early.remove(topic);
      return false;
    }
    return true;
  }

  public void settled() {
    attachedEdges.forEach((connection, edge) -> flow(connection, edge, false));
  }

  private void flow(
      final PeerConnection connection, final AttachedEdge edge, final boolean always) {
    final long upTo = raftNode.appliedIndex();
    List<StoredMessage> wanted = new ArrayList<>();
    for (final StoredMessage message : messageStore.between(edge.looked, upTo)) {
      if (wants(edge, message.topic)) {
        wanted.add(message);
        if (wanted.size() >= MAX_BATCH_MESSAGES) {
          send(connection, edge, message.index, wanted);
          wanted = new ArrayList<>();
        }
      }
    }
    edge.looked = Math.max(edge.looked, upTo);
    if (!wanted.isEmpty() || always) {
      send(connection, edge, edge.looked, wanted);
    }
  }

  private void send(
      final PeerConnection connection,
      final AttachedEdge edge,
      final long upTo,
      final List<StoredMessage> messages) {
    final StreamBatch batch = new StreamBatch();
    batch.from = edge.sent;
    batch.upTo = upTo;
    batch.leader = leader();
    batch.messages = messages;
    edge.sent = upTo;
    connection.send(batch);
  }

  private void beat() {
    final long nowMs = context.nowMs();
    if (serves()) {
      ledMs = nowMs;
    }
    // Cut off from the others, or behind them, for long: the edges do better elsewhere.
    if (nowMs - ledMs > 2 * STREAM_TIMEOUT_MS) {
      close();
      closing = false;
    }
    attachedEdges.forEach((connection, edge) -> flow(connection, edge, true));
  }

  /** Edges hear of a new leader at once: their messages wait for it. */
  public void leaderChanged() {
    attachedEdges.forEach((connection, edge) -> flow(connection, edge, true));
  }

  /** Sends the edges elsewhere. */
  public void close() {
    closing = true;
    List.copyOf(attachedEdges.keySet()).forEach(PeerConnection::close);
  }
}
