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
 * Committed entries passed on inside a zone. The leader sends them across zones once, to a voter
 * there, and members without a vote fetch them from it. What is committed is the same everywhere,
 * so it does not matter who passes it on.
 *
 * <p>Owned by {@link RaftNode}; all calls on the agent's thread.
 */
final class ZoneRelay {
  private final RaftNode raftNode;

  /** Requests for entries that are not committed here yet: answered as soon as they are. */
  private final Map<PeerConnection, FetchRequest> pendingFetches = new LinkedHashMap<>();

  /** Where this member fetches from, null while the leader sends entries itself. */
  private String sourceAddress;

  private long lastFetchMs;

  ZoneRelay(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  /** The leader has decided where this member fetches from; null for the leader itself. */
  void setSource(final String address) {
    final boolean other = address != null && !address.equals(sourceAddress);
    sourceAddress = address;
    if (sourceAddress != null
        && (other || raftNode.context().nowMs() - lastFetchMs > RELAY_RETRY_MS)) {
      sendFetchRequest();
    }
  }

  private void sendFetchRequest() {
    final FetchRequest request = raftNode.withHeader(new FetchRequest(), null);
    request.nextIndex = raftNode.log().lastIndex() + 1;
    request.lastTerm = raftNode.log().lastTerm();
    lastFetchMs = raftNode.context().nowMs();
    raftNode.handshakes().send(raftNode.transport().connect(sourceAddress), request);
  }

  /**
   * A heartbeat to a member that fetches in its zone: it only has to know who leads and to say how
   * far it is.
   */
  void sendHeartbeat(final String identity, final PeerProgress progress, final long round) {
    final long nowMs = raftNode.context().nowMs();
    if (nowMs - progress.relayAnnouncedMs >= RELAYED_HEARTBEAT_INTERVAL_MS) {
      progress.relayAnnouncedMs = nowMs;
      final AppendEntriesRequest request = new AppendEntriesRequest();
      request.prevIndex = progress.matchIndex;
      request.prevTerm = raftNode.log().termAt(progress.matchIndex);
      request.commitIndex = raftNode.commitIndex();
      request.round = round;
      request.relayAddress = progress.relayAddress;
      raftNode.sendTo(identity, request);
    }
  }

  void onFetchRequest(final PeerConnection connection, final FetchRequest request) {
    pendingFetches.put(connection, request);
    respondIfCommitted(connection, request);
  }

  /** More is committed here: answers the requests that waited for it. */
  void onCommitted() {
    if (!pendingFetches.isEmpty()) {
      new LinkedHashMap<>(pendingFetches).forEach(this::respondIfCommitted);
    }
  }

  private void respondIfCommitted(final PeerConnection connection, final FetchRequest request) {
    final long commit = raftNode.commitIndex();
    if (request.nextIndex > commit) {
      return;
    }
    pendingFetches.remove(connection);
    // Before this member's snapshot, or with a tail that was never committed: the leader will see
    // it lag and serve it.
    if (raftNode.log().termAt(request.nextIndex - 1) != request.lastTerm) {
      return;
    }
    final FetchResponse response = raftNode.withHeader(new FetchResponse(), request.from);
    response.prevIndex = request.nextIndex - 1;
    response.prevTerm = request.lastTerm;
    response.entries =
        raftNode
            .log()
            .slice(
                request.nextIndex,
                (int) Math.min(MAX_APPEND_ENTRIES, commit - request.nextIndex + 1),
                MAX_APPEND_BYTES);
    raftNode.handshakes().send(connection, response);
  }

  void onFetchResponse(final FetchResponse response) {
    // The entries may be of a newer term than the one known here: a leader of an earlier one must
    // not truncate them.
    raftNode.observeTerm(response.term);
    if (sourceAddress == null || raftNode.isLeader()) {
      return;
    }
    final List<LogEntry> entries = response.entries;
    // Appended only right behind the end of the log: what came from the leader meanwhile is not
    // touched.
    if (!entries.isEmpty()
        && response.prevIndex == raftNode.log().lastIndex()
        && response.prevTerm == raftNode.log().lastTerm()) {
      raftNode.commitTracker().append(entries);
      raftNode.commitTracker().advanceCommitIndex(entries.get(entries.size() - 1).index);
    }
    sendFetchRequest();
  }

  void onClose(final PeerConnection connection) {
    pendingFetches.remove(connection);
  }
}
