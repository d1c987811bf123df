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

/** What a member does for a candidate or a leader. */
final class FollowerState {
  private final RaftNode raftNode;
  private final List<PendingResponse> waiting = new ArrayList<>();

  /** An answer owed once the disk holds the entries it speaks of. */
  private record PendingResponse(
      PeerConnection connection, AppendEntriesRequest request, long match) {}

  FollowerState(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  void join(final String peerAddress, final boolean wantsVote, final boolean leaves) {
    final JoinRequest request = raftNode.addressed(new JoinRequest(), null);
    request.wantsVote = wantsVote;
    request.leaves = leaves ? true : null;
    raftNode.handshakes.send(raftNode.transport.dial(peerAddress), request);
  }

  void ask(final PeerConnection connection, final VoteRequest request) {
    final RaftStorage storage = raftNode.storage;
    final boolean logServes =
        request.lastTerm > raftNode.log.lastTerm()
            || request.lastTerm == raftNode.log.lastTerm()
                && request.lastIndex >= raftNode.log.lastIndex();
    // Whoever hears a leader keeps to it: a peer with a bad link must not unseat a good leader.
    if (raftNode.heardLately() && !request.handedOver) {
      answer(connection, request, false, storage.term);
      return;
    }
    if (request.pre) {
      final boolean granted = request.term > storage.term && logServes;
      answer(connection, request, granted, granted ? request.term : storage.term);
      return;
    }
    raftNode.seen(request.term);
    final boolean granted =
        request.term == storage.term
            && logServes
            && (storage.votedFor.isEmpty() || storage.votedFor.equals(request.from));
    if (!granted) {
      answer(connection, request, false, storage.term);
      return;
    }
    raftNode.restartClock();
    storage.saveVote(
        request.term, request.from, () -> answer(connection, request, true, request.term));
  }

  private void answer(
      final PeerConnection connection,
      final VoteRequest request,
      final boolean granted,
      final long term) {
    final VoteResponse response =
        RaftMessages.withTerm(raftNode.addressed(new VoteResponse(), request.from), term);
    response.pre = request.pre;
    response.granted = granted;
    raftNode.handshakes.send(connection, response);
  }

  /** True when the letter comes from the leader of the current term. */
  private boolean accepted(final RaftMessages.RaftMessage message) {
    raftNode.seen(message.term);
    if (message.term < raftNode.storage.term) {
      return false;
    }
    // Invariant: one leader a term.
    if (raftNode.leadsTerm()) {
      throw new IllegalStateException("two leaders in term " + message.term);
    }
    raftNode.follow(message.from);
    return true;
  }

  void append(final PeerConnection connection, final AppendEntriesRequest request) {
    final RaftLog log = raftNode.log;
    if (!accepted(request)) {
      answer(connection, request, false, 0);
      return;
    }
    raftNode.heardOn(connection);
    raftNode.relay.source(request.relay);
    raftNode.groupMembership.told(request.commit);
    final boolean behindBase = request.prevIndex < log.baseIndex();
    if (!behindBase && log.termAt(request.prevIndex) != request.prevTerm) {
      answer(connection, request, false, Math.min(log.lastIndex(), request.prevIndex - 1));
      return;
    }
    final List<LogEntry> fresh = new ArrayList<>();
    for (final LogEntry entry : request.entries) {
      // What the snapshot covers was committed and is the same everywhere.
      if (entry.index <= log.baseIndex()) {
        continue;
      }
      if (fresh.isEmpty() && log.termAt(entry.index) == entry.term) {
        continue;
      }
      if (fresh.isEmpty() && entry.index <= log.lastIndex()) {
        raftNode.commitTracker.cutFrom(entry.index);
      }
      fresh.add(entry);
    }
    raftNode.commitTracker.write(fresh);
    long match = Math.max(request.prevIndex + request.entries.size(), log.baseIndex());
    raftNode.commitTracker.commitTo(Math.min(request.commit, match));
    // What was committed here on another's word the leader has, too: so it hears how far a relayed
    // member is.
    match = request.relay == null ? match : Math.max(match, raftNode.commit());
    if (request.quiet && request.entries.isEmpty()) {
      return;
    }
    if (match <= raftNode.commitTracker.syncedIndex() || request.entries.isEmpty()) {
      answer(connection, request, true, Math.min(match, raftNode.commitTracker.syncedIndex()));
    } else {
      waiting.add(new PendingResponse(connection, request, match));
    }
  }

  void synced() {
    if (waiting.isEmpty()) {
      return;
    }
    final List<PendingResponse> owed = new ArrayList<>(waiting);
    waiting.clear();
    for (final PendingResponse one : owed) {
      if (one.request.term != raftNode.storage.term) {
        continue;
      }
      if (one.match <= raftNode.commitTracker.syncedIndex()) {
        answer(one.connection, one.request, true, one.match);
      } else {
        waiting.add(one);
      }
    }
  }

  private void answer(
      final PeerConnection connection,
      final AppendEntriesRequest request,
      final boolean accepted,
      final long match) {
    final AppendEntriesResponse response =
        raftNode.addressed(new AppendEntriesResponse(), request.from);
    response.accepted = accepted;
    response.match = match;
    // The answer bears this member's term: a round counts in it only if it was asked in it.
    response.round = request.term == response.term ? request.round : 0;
    raftNode.handshakes.send(connection, response);
  }

  void image(final PeerConnection connection, final InstallSnapshotRequest request) {
    if (!accepted(request)) {
      return;
    }
    final AppendEntriesRequest asked = new AppendEntriesRequest();
    asked.from = request.from;
    // The entry that a snapshot ends with is here: so is all before it, and what is behind it must
    // stay.
    if (raftNode.log.termAt(request.lastIndex) == request.lastTerm) {
      raftNode.commitTracker.commitTo(request.lastIndex);
    }
    // What is committed here the leader has too: said so, or it would send the same again and
    // again.
    if (request.lastIndex <= raftNode.commit()) {
      answer(
          connection,
          asked,
          true,
          Math.min(raftNode.commit(), raftNode.commitTracker.syncedIndex()));
      return;
    }
    final byte[] state = raftNode.leaderState.snapshotTransfer.taken(request);
    if (state == null) {
      return;
    }
    waiting.clear();
    raftNode.commitTracker.installed(
        request.lastIndex,
        request.lastTerm,
        request.voters,
        state,
        () -> answer(connection, asked, true, request.lastIndex));
  }
}
