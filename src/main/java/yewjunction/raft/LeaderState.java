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

/** What a leader does: replicates, commits, confirms its leadership. */
final class LeaderState {
  private final RaftNode raftNode;
  final VoterReconfiguration reconfiguration;
  final Map<String, PeerProgress> progressByMember = new HashMap<>();
  private final ReadIndexRequests readIndexRequests;
  private final LeaderLatencyMonitor latencyMonitor;
  final SnapshotTransfer snapshotTransfer;
  private long firstIndex;
  private long era;
  private boolean sending;

  /** The next letters ask for an answer: a beat, or a question whether this member still leads. */
  private boolean wanted;

  private boolean announced;
  private boolean telling;

  /** The commit that all have been told. */
  private long toldCommit;

  LeaderState(final RaftNode raftNode) {
    this.raftNode = raftNode;
    reconfiguration = new VoterReconfiguration(raftNode, this);
    readIndexRequests = new ReadIndexRequests(raftNode);
    latencyMonitor = new LeaderLatencyMonitor(raftNode, this);
    snapshotTransfer = new SnapshotTransfer(raftNode, this);
  }

  void begin() {
    era++;
    progressByMember.clear();
    reconfiguration.reset();
    latencyMonitor.reset();
    announced = false;
    raftNode.voters().forEach(this::standing);
    firstIndex = raftNode.log.lastIndex() + 1;
    append(LogEntry.NOTHING, new byte[0]);
    beat(era);
  }

  void end() {
    era++;
    reconfiguration.reset();
    snapshotTransfer.drop();
    readIndexRequests.drop();
  }

  long firstIndex() {
    return firstIndex;
  }

  PeerProgress standing(final String identity) {
    return progressByMember.computeIfAbsent(
        identity,
        key -> {
          final PeerProgress fresh = new PeerProgress();
          fresh.next = raftNode.log.lastIndex() + 1;
          fresh.heardMs = raftNode.context.nowMs();
          return fresh;
        });
  }

  private boolean self(final String identity) {
    return identity.equals(raftNode.identity());
  }

  private void beat(final long ofEra) {
    if (ofEra != era || !raftNode.leadsTerm()) {
      return;
    }
    // Armed first: a turn that fails must not be the last beat.
    raftNode.context.after(HEARTBEAT_INTERVAL_MS, () -> beat(ofEra));
    final long nowMs = raftNode.context.nowMs();
    // A leader that a majority no longer answers steps down, so that others are not led astray.
    final List<String> voters = raftNode.voters();
    final long heard =
        voters.stream()
            .filter(
                voter ->
                    self(voter) || nowMs - standing(voter).heardMs < 2 * MAX_ELECTION_TIMEOUT_MS)
            .count();
    if (heard * 2 <= voters.size()) {
      raftNode.follow(null);
      raftNode.restartClock();
      return;
    }
    latencyMonitor.beat(readIndexRequests.next());
    snapshotTransfer.tidy(nowMs);
    reconfiguration.relays(nowMs);
    wanted = true;
    sendAll();
    reconfiguration.settle();
    if (raftNode.leads()
        && !reconfiguration.handing()
        && (latencyMonitor.drags() && !snapshotTransfer.hold(nowMs)
            || raftNode.commitTracker.owedMs() > SLOW_DISK_TRANSFER_MS)) {
      reconfiguration.handOver(latencyMonitor::reset);
    }
  }

  long append(final int kind, final byte[] data) {
    final LogEntry entry =
        new LogEntry(raftNode.log.lastIndex() + 1, raftNode.storage.term, kind, data);
    raftNode.commitTracker.write(List.of(entry));
    sendSoon();
    return entry.index;
  }

  /** What one turn of the owner appends goes out in one letter. */
  private void sendSoon() {
    if (!sending) {
      sending = true;
      raftNode.context.post(
          () -> {
            sending = false;
            sendAll();
          });
    }
  }

  /**
   * Rides on the next entries where some follow at once; alone it is a letter to everyone, across
   * zones.
   */
  private void tellCommit() {
    if (!telling) {
      telling = true;
      raftNode.context.after(
          COMMIT_NOTICE_DELAY_MS,
          () -> {
            telling = false;
            if (toldCommit < raftNode.commit()) {
              sendAll();
            }
          });
    }
  }

  private void sendAll() {
    if (raftNode.leadsTerm()) {
      toldCommit = raftNode.commit();
      for (final Map.Entry<String, PeerProgress> one : List.copyOf(progressByMember.entrySet())) {
        if (!self(one.getKey())) {
          send(one.getKey(), one.getValue());
        }
      }
      wanted = false;
    }
  }

  /**
   * What was lost with a link shows at the next beat: it names an entry that the peer lacks, and is
   * denied.
   */
  private void send(final String identity, final PeerProgress progress) {
    final long nowMs = raftNode.context.nowMs();
    final RaftLog log = raftNode.log;
    if (progress.relay != null) {
      raftNode.relay.tell(identity, progress, readIndexRequests.newest());
      return;
    }
    final boolean silent = nowMs - progress.heardMs > APPEND_RETRY_MS;
    // A newcomer with nothing also needs to learn who votes, which only a snapshot tells.
    // None is built for a silent peer: it gets a beat, which it denies once it is back.
    final boolean behind =
        progress.next <= log.baseIndex()
            || progress.next == 1 && !raftNode.voters().contains(identity);
    if (behind && (!silent || snapshotTransfer.sends(identity))) {
      snapshotTransfer.send(identity, nowMs);
      return;
    }
    final AppendEntriesRequest request = new AppendEntriesRequest();
    request.prevIndex = progress.next - 1;
    request.prevTerm = log.termAt(request.prevIndex);
    request.commit = raftNode.commit();
    request.round = readIndexRequests.newest();
    request.quiet = !wanted;
    // A silent peer gets beats only: what it misses would pile up on its link.
    if (!silent) {
      request.entries = progress.slice(log, nowMs);
    }
    progress.next += request.entries.size();
    raftNode.sendTo(identity, request);
  }

  void answered(final AppendEntriesResponse response) {
    raftNode.seen(response.term);
    final PeerProgress progress = progressByMember.get(response.from);
    if (!raftNode.leadsTerm() || response.term != raftNode.storage.term || progress == null) {
      return;
    }
    final boolean wasSilent = raftNode.context.nowMs() - progress.heardMs > APPEND_RETRY_MS;
    progress.heardMs = raftNode.context.nowMs();
    progress.round = Math.max(progress.round, response.round);
    if (response.accepted) {
      progress.accepted(response.match, progress.heardMs);
    } else {
      progress.next = Math.max(progress.match, Math.min(progress.next - 2, response.match)) + 1;
    }
    if (progress.next <= raftNode.log.lastIndex()
        && (!response.accepted || wasSilent || progress.match == progress.next - 1)) {
      send(response.from, progress);
    }
    advance();
    readIndexRequests.look(this);
    reconfiguration.handOn(response.from, progress);
  }

  void synced() {
    if (raftNode.leadsTerm()) {
      advance();
    }
  }

  private void advance() {
    final List<String> voters = raftNode.voters();
    final long[] matches = new long[voters.size()];
    for (int i = 0; i < matches.length; i++) {
      matches[i] =
          self(voters.get(i))
              ? raftNode.commitTracker.syncedIndex()
              : standing(voters.get(i)).match;
    }
    java.util.Arrays.sort(matches);
    final long majority = matches[(matches.length - 1) / 2];
    // Only entries of the own term are counted; older ones are committed along with them.
    if (majority > raftNode.commit() && raftNode.log.termAt(majority) == raftNode.storage.term) {
      raftNode.commitTracker.commitTo(majority);
      tellCommit();
    }
  }

  void advanced() {
    if (!announced && raftNode.applied() >= firstIndex) {
      announced = true;
      raftNode.announceLeading();
    }
    // A leader that voted itself out goes once that is committed.
    if (raftNode.log.lastVotersIndex() <= raftNode.commit()
        && !raftNode.voters().contains(raftNode.identity())) {
      raftNode.follow(null);
    }
  }

  void confirm(final Consumer<Boolean> done) {
    readIndexRequests.ask(done);
    wanted = true;
    if (raftNode.voters().size() == 1) {
      readIndexRequests.look(this);
    } else {
      sendSoon();
    }
  }

  void learn(final RaftMessages.JoinRequest request) {
    if (raftNode.leadsTerm()) {
      standing(request.from).said(request, raftNode.context.nowMs());
    }
  }
}
