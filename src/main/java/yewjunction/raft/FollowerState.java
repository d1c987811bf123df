package yewjunction.raft;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.PeerConnection;
import yewjunction.raft.RaftMessages.AppendEntriesRequest;
import yewjunction.raft.RaftMessages.AppendEntriesResponse;
import yewjunction.raft.RaftMessages.InstallSnapshotRequest;
import yewjunction.raft.RaftMessages.JoinRequest;
import yewjunction.raft.RaftMessages.VoteRequest;
import yewjunction.raft.RaftMessages.VoteResponse;

/**
 * What a member does for candidates and leaders: grants votes, takes entries and snapshots, and
 * responds once they are on disk. It does so in any role; a message of a newer term makes the
 * member a follower first.
 *
 * <p>Owned by {@link RaftNode}; all calls on the agent's thread.
 */
final class FollowerState {
  private final RaftNode raftNode;
  private final List<PendingResponse> pendingResponses = new ArrayList<>();

  /** A response that is due once the disk holds the entries it acknowledges. */
  private record PendingResponse(
      PeerConnection connection, AppendEntriesRequest request, long match) {}

  FollowerState(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  /** Tells a member, which may be the leader or know it, that this one runs, or leaves. */
  void sendJoinRequest(final String peerAddress, final boolean wantsVote, final boolean leaves) {
    final JoinRequest request = raftNode.withHeader(new JoinRequest(), null);
    request.wantsVote = wantsVote;
    request.leaving = leaves ? true : null;
    raftNode.handshakes().send(raftNode.transport().connect(peerAddress), request);
  }

  /** Grants or denies a vote; a vote is sent only once it is on disk. */
  void onVoteRequest(final PeerConnection connection, final VoteRequest request) {
    final RaftStorage storage = raftNode.storage();
    final boolean logUpToDate =
        request.lastTerm > raftNode.log().lastTerm()
            || request.lastTerm == raftNode.log().lastTerm()
                && request.lastIndex >= raftNode.log().lastIndex();
    // A member that hears a leader keeps it: one with a bad connection must not depose a good
    // leader.
    if (raftNode.hasRecentLeader() && !request.leadershipTransfer) {
      respond(connection, request, false, storage.term());
      return;
    }
    if (request.preVote) {
      final boolean granted = request.term > storage.term() && logUpToDate;
      respond(connection, request, granted, granted ? request.term : storage.term());
      return;
    }
    raftNode.observeTerm(request.term);
    final boolean granted =
        request.term == storage.term()
            && logUpToDate
            && (storage.votedFor().isEmpty() || storage.votedFor().equals(request.from));
    if (!granted) {
      respond(connection, request, false, storage.term());
      return;
    }
    raftNode.resetElectionTimeout();
    storage.saveVote(
        request.term, request.from, () -> respond(connection, request, true, request.term));
  }

  private void respond(
      final PeerConnection connection,
      final VoteRequest request,
      final boolean granted,
      final long term) {
    final VoteResponse response =
        RaftMessages.withTerm(raftNode.withHeader(new VoteResponse(), request.from), term);
    response.preVote = request.preVote;
    response.granted = granted;
    raftNode.handshakes().send(connection, response);
  }

  /** True when the message comes from the leader of the current term. */
  private boolean acceptLeader(final RaftMessages.RaftMessage message) {
    raftNode.observeTerm(message.term);
    if (message.term < raftNode.currentTerm()) {
      return false;
    }
    // Invariant: one leader a term.
    if (raftNode.isLeader()) {
      throw new IllegalStateException("two leaders in term " + message.term);
    }
    raftNode.becomeFollower(message.from);
    return true;
  }

  /** Takes entries, or a mere heartbeat, of the leader of the current term. */
  void onAppendEntries(final PeerConnection connection, final AppendEntriesRequest request) {
    final RaftLog log = raftNode.log();
    if (!acceptLeader(request)) {
      respond(connection, request, false, 0);
      return;
    }
    raftNode.onLeaderContact(connection);
    raftNode.relay().setSource(request.relayAddress);
    raftNode.groupMembership().onLeaderCommitIndex(request.commitIndex);
    final boolean coveredBySnapshot = request.prevIndex < log.snapshotIndex();
    if (!coveredBySnapshot && log.termAt(request.prevIndex) != request.prevTerm) {
      respond(connection, request, false, Math.min(log.lastIndex(), request.prevIndex - 1));
      return;
    }
    appendNewEntries(request.entries);
    final long matchIndex =
        Math.max(request.prevIndex + request.entries.size(), log.snapshotIndex());
    raftNode.commitTracker().advanceCommitIndex(Math.min(request.commitIndex, matchIndex));
    if (!request.responseOptional || !request.entries.isEmpty()) {
      respondOnceSynced(connection, request, matchIndex);
    }
  }

  /** Appends what is not there yet; a tail that an earlier leader left goes first. */
  private void appendNewEntries(final List<LogEntry> entries) {
    final RaftLog log = raftNode.log();
    final List<LogEntry> newEntries = new ArrayList<>();
    for (final LogEntry entry : entries) {
      // What the snapshot covers was committed and is the same everywhere.
      if (entry.index <= log.snapshotIndex()) {
        continue;
      }
      if (newEntries.isEmpty() && log.termAt(entry.index) == entry.term) {
        continue;
      }
      if (newEntries.isEmpty() && entry.index <= log.lastIndex()) {
        raftNode.commitTracker().truncateFrom(entry.index);
      }
      newEntries.add(entry);
    }
    raftNode.commitTracker().append(newEntries);
  }

  /** Responds at once when the disk holds the entries of the request, else as soon as it does. */
  private void respondOnceSynced(
      final PeerConnection connection, final AppendEntriesRequest request, final long matchIndex) {
    // What was committed here through another member the leader has, too: so it learns how far a
    // relayed member is.
    final long heldIndex =
        request.relayAddress == null ? matchIndex : Math.max(matchIndex, raftNode.commitIndex());
    final long syncedIndex = raftNode.commitTracker().syncedIndex();
    if (heldIndex <= syncedIndex || request.entries.isEmpty()) {
      respond(connection, request, true, Math.min(heldIndex, syncedIndex));
    } else {
      pendingResponses.add(new PendingResponse(connection, request, heldIndex));
    }
  }

  /** More entries are on disk: sends the responses that waited for them. */
  void onSynced() {
    if (pendingResponses.isEmpty()) {
      return;
    }
    final List<PendingResponse> pending = new ArrayList<>(pendingResponses);
    pendingResponses.clear();
    for (final PendingResponse response : pending) {
      if (response.request.term != raftNode.currentTerm()) {
        continue;
      }
      if (response.match <= raftNode.commitTracker().syncedIndex()) {
        respond(response.connection, response.request, true, response.match);
      } else {
        pendingResponses.add(response);
      }
    }
  }

  private void respond(
      final PeerConnection connection,
      final AppendEntriesRequest request,
      final boolean accepted,
      final long match) {
    final AppendEntriesResponse response =
        raftNode.withHeader(new AppendEntriesResponse(), request.from);
    response.accepted = accepted;
    response.matchIndex = match;
    // The response carries this member's term: a round counts only in the term it was requested in.
    response.round = request.term == response.term ? request.round : 0;
    raftNode.handshakes().send(connection, response);
  }

  /** Takes one chunk of a snapshot; the last one replaces the log and the state machine's state. */
  void onInstallSnapshot(final PeerConnection connection, final InstallSnapshotRequest request) {
    if (!acceptLeader(request)) {
      return;
    }
    final AppendEntriesRequest responseTo = new AppendEntriesRequest();
    responseTo.from = request.from;
    // The entry that a snapshot ends with is here: so is all before it, and what is behind it must
    // stay.
    if (raftNode.log().termAt(request.lastIndex) == request.lastTerm) {
      raftNode.commitTracker().advanceCommitIndex(request.lastIndex);
    }
    // What is committed here the leader has too: said so, or it would send the same again and
    // again.
    if (request.lastIndex <= raftNode.commitIndex()) {
      respond(
          connection,
          responseTo,
          true,
          Math.min(raftNode.commitIndex(), raftNode.commitTracker().syncedIndex()));
      return;
    }
    final byte[] state = raftNode.leaderState().snapshotTransfer().onChunk(request);
    if (state == null) {
      return;
    }
    pendingResponses.clear();
    raftNode
        .commitTracker()
        .installSnapshot(
            request.lastIndex,
            request.lastTerm,
            request.voters,
            state,
            () -> respond(connection, responseTo, true, request.lastIndex));
  }
}
