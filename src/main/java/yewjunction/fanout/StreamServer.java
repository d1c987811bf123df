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

/**
 * A store as the server of edges: streams each attached edge the messages whose topics it
 * subscribes to, in the order of the log. Each batch names the index that the one before ended
 * with, so an edge sees a gap.
 *
 * <p>All calls on the agent's thread.
 */
public final class StreamServer {
  private final AgentContext context;
  private final RaftNode raftNode;
  private final MessageStore messageStore;
  private final AddWinsSet subscriptions;
  private final Map<PeerConnection, AttachedEdge> attachedEdges = new LinkedHashMap<>();
  private long upToDateMs;
  private boolean closing;

  /** What this store knows of an edge that is attached to it. */
  private static final class AttachedEdge {
    String node;
    long replica;

    /** Index up to which batches were sent. */
    long sentIndex;

    /** Index up to which messages were looked at for this edge. */
    long scannedIndex;

    /**
     * Instances that the edge announced before the set had them, by topic; used only until w(s)
     * covers them.
     */
    final Map<String, Long> announcedInstances = new HashMap<>();
  }

  /** Registers the handlers and begins the heartbeats. */
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
    transport.onMessage(AttachRequest.class, this::onAttachRequest);
    transport.onMessage(SubscribeRequest.class, this::onSubscribeRequest);
    transport.onMessage(ReplayRequest.class, this::onReplayRequest);
    transport.onMessage(Heartbeat.class, (connection, heartbeat) -> {});
    transport.onClose(
        connection -> {
          final AttachedEdge edge = attachedEdges.remove(connection);
          if (edge != null) {
            LogEvent.EDGE_DETACHED.info(edge.node);
          }
        });
    context.scheduleAtFixedRate(STREAM_HEARTBEAT_INTERVAL_MS, this::heartbeat);
  }

  /** The replica ids of the attached edges. */
  Map<PeerConnection, Long> replicaByConnection() {
    final Map<PeerConnection, Long> edges = new LinkedHashMap<>();
    attachedEdges.forEach((connection, edge) -> edges.put(connection, edge.replica));
    return edges;
  }

  private String leader() {
    return raftNode.leader() == null ? "" : RaftNode.addressOf(raftNode.leader());
  }

  private boolean isUpToDate() {
    return raftNode.leader() != null && raftNode.groupMembership().lagMs() <= MAX_SERVING_LAG_MS;
  }

  private void onAttachRequest(final PeerConnection connection, final AttachRequest request) {
    final AttachResponse response = new AttachResponse();
    // A store that hears no leader, or lags behind what the edge has seen, does not serve it.
    response.accepted = !closing && isUpToDate() && raftNode.appliedIndex() >= request.lastIndex;
    response.leader = leader();
    if (response.accepted) {
      final AttachedEdge edge = new AttachedEdge();
      edge.node = request.node;
      edge.replica = request.replica;
      edge.sentIndex =
          request.lastIndex < messageStore.lastDroppedIndex()
              ? raftNode.appliedIndex()
              : request.lastIndex;
      edge.scannedIndex = edge.sentIndex;
      response.startIndex = edge.sentIndex;
      attachedEdges.put(connection, edge);
      LogEvent.EDGE_ATTACHED.info(edge.node + " from " + edge.sentIndex);
      connection.send(response);
      streamTo(connection, edge, false);
    } else {
      connection.send(response);
    }
  }

  private void onSubscribeRequest(final PeerConnection connection, final SubscribeRequest request) {
    final AttachedEdge edge = attachedEdges.get(connection);
    if (edge == null) {
      return;
    }
    // Streams first, so that what lies behind the position stays in order.
    streamTo(connection, edge, false);
    // The client has moved to this edge: its instances at other edges are cancelled, which this
    // edge may not know of.
    subscriptions.moveTo(request.topic, request.client, edge.replica);
    edge.announcedInstances.merge(request.topic, request.instance, Math::max);
    final ReplayResponse response = new ReplayResponse();
    response.requestId = request.requestId;
    response.position = Math.max(request.position, raftNode.appliedIndex());
    if (request.position >= 0) {
      addMessages(edge, response, request.topic, request.position, response.position);
    }
    connection.send(response);
  }

  /**
   * Adds messages up to a bounded size; the edge asks for the next chunk when it has room for it.
   */
  private void addMessages(
      final AttachedEdge edge,
      final ReplayResponse response,
      final String topic,
      final long after,
      final long upTo) {
    final List<StoredMessage> behind = messageStore.messagesAfter(topic, after);
    if (behind == null) {
      response.expired = true;
      LogEvent.REPLAY_EXPIRED.info(
          "%s: %s after %d, %s"
              .formatted(edge.node, topic, after, messageStore.describeDropped(topic)));
      return;
    }
    int bytes = 0;
    for (final StoredMessage message : behind) {
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

  private void onReplayRequest(final PeerConnection connection, final ReplayRequest request) {
    final AttachedEdge edge = attachedEdges.get(connection);
    if (edge == null) {
      return;
    }
    // The index was named by another store that was ahead of this one: answered once as much is
    // applied here.
    if (raftNode.appliedIndex() < request.throughIndex) {
      context.schedule(
          STREAM_HEARTBEAT_INTERVAL_MS / 10, () -> onReplayRequest(connection, request));
      return;
    }
    final ReplayResponse response = new ReplayResponse();
    response.requestId = request.requestId;
    response.position = request.throughIndex;
    addMessages(edge, response, request.topic, request.afterIndex, request.throughIndex);
    connection.send(response);
  }

  private boolean wants(final AttachedEdge edge, final String topic) {
    if (subscriptions.hasSubscriber(topic, edge.replica)) {
      return true;
    }
    final Long early = edge.announcedInstances.get(topic);
    if (early == null) {
      return false;
    }
    if (early <= subscriptions.observed(edge.replica)) {
      // The set has caught up, and the subscription has ended since.
      edge.announcedInstances.remove(topic);
      return false;
    }
    return true;
  }

  /** More messages are applied here: streams them. */
  public void onCommitted() {
    attachedEdges.forEach((connection, edge) -> streamTo(connection, edge, false));
  }

  private void streamTo(
      final PeerConnection connection, final AttachedEdge edge, final boolean always) {
    final long upTo = raftNode.appliedIndex();
    List<StoredMessage> wanted = new ArrayList<>();
    for (final StoredMessage message : messageStore.between(edge.scannedIndex, upTo)) {
      if (wants(edge, message.topic)) {
        wanted.add(message);
        if (wanted.size() >= MAX_BATCH_MESSAGES) {
          send(connection, edge, message.index, wanted);
          wanted = new ArrayList<>();
        }
      }
    }
    edge.scannedIndex = Math.max(edge.scannedIndex, upTo);
    if (!wanted.isEmpty() || always) {
      send(connection, edge, edge.scannedIndex, wanted);
    }
  }

  private void send(
      final PeerConnection connection,
      final AttachedEdge edge,
      final long upTo,
      final List<StoredMessage> messages) {
    final StreamBatch batch = new StreamBatch();
    batch.previousIndex = edge.sentIndex;
    batch.throughIndex = upTo;
    batch.leader = leader();
    batch.messages = messages;
    edge.sentIndex = upTo;
    connection.send(batch);
  }

  private void heartbeat() {
    final long nowMs = context.nowMs();
    if (isUpToDate()) {
      upToDateMs = nowMs;
    }
    // Cut off from the leader, or behind it, for long: another store serves the edges better.
    if (nowMs - upToDateMs > 2 * STREAM_TIMEOUT_MS) {
      detachAll();
      closing = false;
    }
    attachedEdges.forEach((connection, edge) -> streamTo(connection, edge, true));
  }

  /** Tells the edges of a new leader at once: their messages wait for it. */
  public void onLeaderChange() {
    attachedEdges.forEach((connection, edge) -> streamTo(connection, edge, true));
  }

  /** Closes the streams, and takes no edge any more: they attach to other stores. */
  public void detachAll() {
    closing = true;
    List.copyOf(attachedEdges.keySet()).forEach(PeerConnection::close);
  }
}
