package yewjunction.raft;

import static yewjunction.limits.RaftLimits.MAX_APPEND_BYTES;
import static yewjunction.limits.RaftLimits.MAX_APPEND_ENTRIES;
import static yewjunction.limits.RaftLimits.RELAYED_HEARTBEAT_INTERVAL_MS;
import static yewjunction.limits.RaftLimits.RELAY_RETRY_MS;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.common.PeerConnection;
import yewjunction.raft.RaftMessages.AppendEntriesRequest;
import yewjunction.raft.RaftMessages.FetchRequest;
import yewjunction.raft.RaftMessages.FetchResponse;

/**
 * Committed entries handed on inside a zone: the leader sends them across once, to a voter there,
 * and members without a vote fetch them from it. What is committed is the same everywhere, so it
 * does not matter who hands it on.
 */
final class ZoneRelay {
  private final RaftNode raftNode;

  /** Who asked for what is not committed here yet: answered the moment it is. */
  private final Map<PeerConnection, FetchRequest> waiting = new LinkedHashMap<>();

  /** Where this member fetches from, null while the leader itself sends. */
  private String source;

  private long askedMs;

  ZoneRelay(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  /** The leader's word on who serves this member. */
  void source(final String address) {
    final boolean other = address != null && !address.equals(source);
    source = address;
    if (source != null && (other || raftNode.context.nowMs() - askedMs > RELAY_RETRY_MS)) {
      fetch();
    }
  }

  private void fetch() {
    final FetchRequest request = raftNode.addressed(new FetchRequest(), null);
    request.next = raftNode.log.lastIndex() + 1;
    request.lastTerm = raftNode.log.lastTerm();
    askedMs = raftNode.context.nowMs();
    raftNode.handshakes.send(raftNode.transport.dial(source), request);
  }

  /**
   * To a member whose zone has the entries: it only needs to hear who leads, and to say how far it
   * is.
   */
  void tell(final String identity, final PeerProgress progress, final long round) {
    final long nowMs = raftNode.context.nowMs();
    if (nowMs - progress.relayToldMs >= RELAYED_HEARTBEAT_INTERVAL_MS) {
      progress.relayToldMs = nowMs;
      final AppendEntriesRequest request = new AppendEntriesRequest();
      request.prevIndex = progress.match;
      request.prevTerm = raftNode.log.termAt(progress.match);
      request.commit = raftNode.commit();
      request.round = round;
      request.relay = progress.relay;
      raftNode.sendTo(identity, request);
    }
  }

  void asked(final PeerConnection connection, final FetchRequest request) {
    waiting.put(connection, request);
    serve(connection, request);
  }

  /** More is committed here now. */
  void committed() {
    if (!waiting.isEmpty()) {
      new LinkedHashMap<>(waiting).forEach(this::serve);
    }
  }

  private void serve(final PeerConnection connection, final FetchRequest request) {
    final long commit = raftNode.commit();
    if (request.next > commit) {
      return;
    }
    waiting.remove(connection);
    // Behind this member's snapshot, or with a tail that was never committed: the leader's matter,
    // which sees it lag.
    if (raftNode.log.termAt(request.next - 1) != request.lastTerm) {
      return;
    }
    final FetchResponse response = raftNode.addressed(new FetchResponse(), request.from);
    response.prevIndex = request.next - 1;
    response.prevTerm = request.lastTerm;
    response.entries =
        raftNode.log.slice(
            request.next,
            (int) Math.min(MAX_APPEND_ENTRIES, commit - request.next + 1),
            MAX_APPEND_BYTES);
    raftNode.handshakes.send(connection, response);
  }

  void taken(final FetchResponse response) {
    // What is taken may be of a later term than the one heard of: a leader of an earlier one must
    // not cut it again.
    raftNode.seen(response.term);
    if (source == null || raftNode.leadsTerm()) {
      return;
    }
    final List<LogEntry> entries = response.entries;
    // Only right behind the end: what came from elsewhere meanwhile is not touched.
    if (!entries.isEmpty()
        && response.prevIndex == raftNode.log.lastIndex()
        && response.prevTerm == raftNode.log.lastTerm()) {
      raftNode.commitTracker.write(entries);
      raftNode.commitTracker.commitTo(entries.get(entries.size() - 1).index);
    }
    fetch();
  }

  void closed(final PeerConnection connection) {
    waiting.remove(connection);
  }
}
