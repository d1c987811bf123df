package yewjunction.raft;

import static yewjunction.limits.RaftLimits.APPEND_RETRY_MS;
import static yewjunction.limits.RaftLimits.COMMIT_NOTICE_DELAY_MS;
import static yewjunction.limits.RaftLimits.HEARTBEAT_INTERVAL_MS;
import static yewjunction.limits.RaftLimits.MAX_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.StorageLimits.SLOW_DISK_TRANSFER_MS;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yewjunction.raft.RaftMessages.AppendEntriesRequest;
import yewjunction.raft.RaftMessages.AppendEntriesResponse;

/**
 * What a member does while it leads: appends and replicates entries, advances the commit index,
 * sends heartbeats, and confirms its leadership. Each leadership has a number, so that a timer of
 * an earlier one does nothing.
 *
 * <p>Owns the {@link PeerProgress} of every other member. A leader steps down when a majority has
 * been silent, and transfers its leadership when its own connections or disk hold the others up.
 *
 * <p>Owned by {@link RaftNode}; all calls on the agent's thread.
 */
final class LeaderState {
  private final RaftNode raftNode;
  private final VoterReconfiguration reconfiguration;
  private final Map<String, PeerProgress> progressByMember = new HashMap<>();
  private final ReadIndexRequests readIndexRequests;
  private final LeaderLatencyMonitor latencyMonitor;
  private final SnapshotTransfer snapshotTransfer;
  private long firstIndexOfTerm;
  private long leadershipNumber;
  private boolean sendScheduled;

  /**
   * Whether the next requests ask for a response: set for heartbeats, and when the leadership is to
   * be confirmed.
   */
  private boolean responseWanted;

  private boolean leadershipAnnounced;
  private boolean commitNoticeScheduled;

  /** The newest commit index that was sent to all. */
  private long announcedCommitIndex;

  LeaderState(final RaftNode raftNode) {
    this.raftNode = raftNode;
    reconfiguration = new VoterReconfiguration(raftNode, this);
    readIndexRequests = new ReadIndexRequests(raftNode);
    latencyMonitor = new LeaderLatencyMonitor(raftNode, this);
    snapshotTransfer = new SnapshotTransfer(raftNode, this);
  }

  void start() {
    leadershipNumber++;
    progressByMember.clear();
    reconfiguration.reset();
    latencyMonitor.reset();
    leadershipAnnounced = false;
    raftNode.voters().forEach(this::progressOf);
    firstIndexOfTerm = raftNode.log().lastIndex() + 1;
    append(LogEntry.NO_OP, new byte[0]);
    heartbeat(leadershipNumber);
  }

  void stop() {
    leadershipNumber++;
    reconfiguration.reset();
    snapshotTransfer.abandonAll();
    readIndexRequests.failAll();
  }

  long firstIndexOfTerm() {
    return firstIndexOfTerm;
  }

  VoterReconfiguration reconfiguration() {
    return reconfiguration;
  }

  SnapshotTransfer snapshotTransfer() {
    return snapshotTransfer;
  }

  /** By identity: every member that is known, with a vote or without. */
  Map<String, PeerProgress> progressByMember() {
    return progressByMember;
  }

  /** A member's progress; one that was not known is assumed to hold the whole log. */
  PeerProgress progressOf(final String identity) {
    return progressByMember.computeIfAbsent(
        identity,
        key -> {
          final PeerProgress newProgress = new PeerProgress();
          newProgress.nextIndex = raftNode.log().lastIndex() + 1;
          newProgress.lastContactMs = raftNode.context().nowMs();
          return newProgress;
        });
  }

  private boolean isSelf(final String identity) {
    return identity.equals(raftNode.identity());
  }

  private void heartbeat(final long ofLeadership) {
    if (ofLeadership != leadershipNumber || !raftNode.isLeader()) {
      return;
    }
    // Scheduled first, so that heartbeats go on if this one throws.
    raftNode.context().schedule(HEARTBEAT_INTERVAL_MS, () -> heartbeat(ofLeadership));
    final long nowMs = raftNode.context().nowMs();
    if (!hasContactWithMajority(nowMs)) {
      // Steps down, so that no member keeps following a leader that can commit nothing.
      raftNode.becomeFollower(null);
      raftNode.resetElectionTimeout();
      return;
    }
    latencyMonitor.onHeartbeat(readIndexRequests.nextRound());
    snapshotTransfer.abandonStale(nowMs);
    reconfiguration.assignRelays(nowMs);
    responseWanted = true;
    replicateToAll();
    reconfiguration.adjustVoters();
    if (shouldTransferLeadership(nowMs)) {
      reconfiguration.transferLeadership(latencyMonitor::reset);
    }
  }

  private boolean hasContactWithMajority(final long nowMs) {
    final List<String> voters = raftNode.voters();
    final long inContact =
        voters.stream()
            .filter(
                voter ->
                    isSelf(voter)
                        || nowMs - progressOf(voter).lastContactMs < 2 * MAX_ELECTION_TIMEOUT_MS)
            .count();
    return inContact * 2 > voters.size();
  }

  /** Whether this leader's own connections or disk hold the whole group up. */
  private boolean shouldTransferLeadership(final long nowMs) {
    if (!raftNode.isReadyLeader() || reconfiguration.isTransferring()) {
      return false;
    }
    return latencyMonitor.isSlow() && !snapshotTransfer.keepsLeadership(nowMs)
        || raftNode.commitTracker().oldestPendingWriteMs() > SLOW_DISK_TRANSFER_MS;
  }

  long append(final int kind, final byte[] data) {
    final LogEntry entry =
        new LogEntry(raftNode.log().lastIndex() + 1, raftNode.currentTerm(), kind, data);
    raftNode.commitTracker().append(List.of(entry));
    scheduleSend();
    return entry.index;
  }

  /** All that is appended in one turn of the agent goes out in one request to each member. */
  private void scheduleSend() {
    if (!sendScheduled) {
      sendScheduled = true;
      raftNode
          .context()
          .execute(
              () -> {
                sendScheduled = false;
                replicateToAll();
              });
    }
  }

  /**
   * Sends the new commit index after a short delay: if entries follow meanwhile, it is sent with
   * them and needs no request of its own.
   */
  private void scheduleCommitNotice() {
    if (!commitNoticeScheduled) {
      commitNoticeScheduled = true;
      raftNode
          .context()
          .schedule(
              COMMIT_NOTICE_DELAY_MS,
              () -> {
                commitNoticeScheduled = false;
                if (announcedCommitIndex < raftNode.commitIndex()) {
                  replicateToAll();
                }
              });
    }
  }

  private void replicateToAll() {
    if (raftNode.isLeader()) {
      announcedCommitIndex = raftNode.commitIndex();
      for (final Map.Entry<String, PeerProgress> one : List.copyOf(progressByMember.entrySet())) {
        if (!isSelf(one.getKey())) {
          replicateTo(one.getKey(), one.getValue());
        }
      }
      responseWanted = false;
    }
  }

  /**
   * Sends what the member lacks. What was lost with a connection shows at the next heartbeat, which
   * names an entry that the member lacks, and is rejected.
   */
  private void replicateTo(final String identity, final PeerProgress progress) {
    final long nowMs = raftNode.context().nowMs();
    final RaftLog log = raftNode.log();
    if (progress.relayAddress != null) {
      raftNode.relay().sendHeartbeat(identity, progress, readIndexRequests.newestRound());
      return;
    }
    final boolean silent = nowMs - progress.lastContactMs > APPEND_RETRY_MS;
    // A member with an empty log also has to learn the voters, which only a snapshot contains. No
    // snapshot is built for a silent member: it gets a heartbeat, and rejects that once it is back.
    final boolean behind =
        progress.nextIndex <= log.snapshotIndex()
            || progress.nextIndex == 1 && !raftNode.voters().contains(identity);
    if (behind && (!silent || snapshotTransfer.isSendingTo(identity))) {
      snapshotTransfer.startOrProbe(identity, nowMs);
      return;
    }
    final AppendEntriesRequest request = new AppendEntriesRequest();
    request.prevIndex = progress.nextIndex - 1;
    request.prevTerm = log.termAt(request.prevIndex);
    request.commitIndex = raftNode.commitIndex();
    request.round = readIndexRequests.newestRound();
    request.responseOptional = !responseWanted;
    // A silent member gets heartbeats only: entries would pile up on its connection.
    if (!silent) {
      request.entries = progress.nextEntries(log, nowMs);
    }
    progress.nextIndex += request.entries.size();
    raftNode.sendTo(identity, request);
  }

  void onAppendEntriesResponse(final AppendEntriesResponse response) {
    raftNode.observeTerm(response.term);
    final PeerProgress progress = progressByMember.get(response.from);
    if (!raftNode.isLeader() || response.term != raftNode.currentTerm() || progress == null) {
      return;
    }
    final boolean wasSilent = raftNode.context().nowMs() - progress.lastContactMs > APPEND_RETRY_MS;
    progress.lastContactMs = raftNode.context().nowMs();
    progress.confirmedRound = Math.max(progress.confirmedRound, response.round);
    if (response.accepted) {
      progress.onAccepted(response.matchIndex, progress.lastContactMs);
    } else {
      progress.nextIndex =
          Math.max(progress.matchIndex, Math.min(progress.nextIndex - 2, response.matchIndex)) + 1;
    }
    if (progress.nextIndex <= raftNode.log().lastIndex()
        && (!response.accepted || wasSilent || progress.matchIndex == progress.nextIndex - 1)) {
      replicateTo(response.from, progress);
    }
    advanceCommitIndex();
    readIndexRequests.completeConfirmed(this);
    reconfiguration.continueTransfer(response.from, progress);
  }

  void onSynced() {
    if (raftNode.isLeader()) {
      advanceCommitIndex();
    }
  }

  private void advanceCommitIndex() {
    final List<String> voters = raftNode.voters();
    final long[] matchIndexes = new long[voters.size()];
    for (int i = 0; i < matchIndexes.length; i++) {
      matchIndexes[i] =
          isSelf(voters.get(i))
              ? raftNode.commitTracker().syncedIndex()
              : progressOf(voters.get(i)).matchIndex;
    }
    java.util.Arrays.sort(matchIndexes);
    final long majorityIndex = matchIndexes[(matchIndexes.length - 1) / 2];
    // Only entries of the current term are committed by counting; earlier ones are committed with
    // them (Raft, section 5.4.2).
    if (majorityIndex > raftNode.commitIndex()
        && raftNode.log().termAt(majorityIndex) == raftNode.currentTerm()) {
      raftNode.commitTracker().advanceCommitIndex(majorityIndex);
      scheduleCommitNotice();
    }
  }

  void onCommitIndexAdvanced() {
    if (!leadershipAnnounced && raftNode.appliedIndex() >= firstIndexOfTerm) {
      leadershipAnnounced = true;
      raftNode.announceLeadership();
    }
    // A leader that is no longer a voter steps down once that change is committed.
    if (raftNode.log().lastVoterChangeIndex() <= raftNode.commitIndex()
        && !raftNode.voters().contains(raftNode.identity())) {
      raftNode.becomeFollower(null);
    }
  }

  void confirmLeadership(final Consumer<Boolean> done) {
    readIndexRequests.add(done);
    responseWanted = true;
    if (raftNode.voters().size() == 1) {
      readIndexRequests.completeConfirmed(this);
    } else {
      scheduleSend();
    }
  }

  void onJoinRequest(final RaftMessages.JoinRequest request) {
    if (raftNode.isLeader()) {
      progressOf(request.from).onJoinRequest(request, raftNode.context().nowMs());
    }
  }
}
