package yewjunction.raft;

import static yewjunction.common.Limits.APPEND_AGAIN_MS;
import static yewjunction.common.Limits.BEAT_MS;
import static yewjunction.common.Limits.COMMIT_WORD_MS;
import static yewjunction.common.Limits.DISK_DRAGS_MS;
import static yewjunction.common.Limits.ELECT_MOST_MS;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yewjunction.raft.RaftMessages.AppendEntriesRequest;
import yewjunction.raft.RaftMessages.AppendEntriesResponse;

/** What a leader does: replicates, commits, confirms its leadership. */
final class LeaderState {
  private final RaftNode ledger;
  final VoterReconfiguration electorate;
  final Map<String, PeerProgress> standings = new HashMap<>();
  private final ReadIndexRequests rounds;
  private final LeaderLatencyMonitor tempo;
  final SnapshotTransfer images;
  private long firstIndex;
  private long era;
  private boolean sending;

  /** The next letters ask for an answer: a beat, or a question whether this member still leads. */
  private boolean wanted;

  private boolean announced;
  private boolean telling;

  /** The commit that all have been told. */
  private long toldCommit;

  LeaderState(final RaftNode ledger) {
    this.ledger = ledger;
    electorate = new VoterReconfiguration(ledger, this);
    rounds = new ReadIndexRequests(ledger);
    tempo = new LeaderLatencyMonitor(ledger, this);
    images = new SnapshotTransfer(ledger, this);
  }

  void begin() {
    era++;
    standings.clear();
    electorate.reset();
    tempo.reset();
    announced = false;
    ledger.voters().forEach(this::standing);
    firstIndex = ledger.log.lastIndex() + 1;
    append(LogEntry.NOTHING, new byte[0]);
    beat(era);
  }

  void end() {
    era++;
    electorate.reset();
    images.drop();
    rounds.drop();
  }

  long firstIndex() {
    return firstIndex;
  }

  PeerProgress standing(final String identity) {
    return standings.computeIfAbsent(
        identity,
        key -> {
          final PeerProgress fresh = new PeerProgress();
          fresh.next = ledger.log.lastIndex() + 1;
          fresh.heardMs = ledger.pulse.nowMs();
          return fresh;
        });
  }

  private boolean self(final String identity) {
    return identity.equals(ledger.identity());
  }

  private void beat(final long ofEra) {
    if (ofEra != era || !ledger.leadsTerm()) {
      return;
    }
    // Armed first: a turn that fails must not be the last beat.
    ledger.pulse.after(BEAT_MS, () -> beat(ofEra));
    final long nowMs = ledger.pulse.nowMs();
    // A leader that a majority no longer answers steps down, so that others are not led astray.
    final List<String> voters = ledger.voters();
    final long heard =
        voters.stream()
            .filter(voter -> self(voter) || nowMs - standing(voter).heardMs < 2 * ELECT_MOST_MS)
            .count();
    if (heard * 2 <= voters.size()) {
      ledger.follow(null);
      ledger.restartClock();
      return;
    }
    tempo.beat(rounds.next());
    images.tidy(nowMs);
    electorate.relays(nowMs);
    wanted = true;
    sendAll();
    electorate.settle();
    if (ledger.leads()
        && !electorate.handing()
        && (tempo.drags() && !images.hold(nowMs) || ledger.course.owedMs() > DISK_DRAGS_MS)) {
      electorate.handOver(tempo::reset);
    }
  }

  long append(final int kind, final byte[] data) {
    final LogEntry entry =
        new LogEntry(ledger.log.lastIndex() + 1, ledger.archive.term, kind, data);
    ledger.course.write(List.of(entry));
    sendSoon();
    return entry.index;
  }

  /** What one turn of the owner appends goes out in one letter. */
  private void sendSoon() {
    if (!sending) {
      sending = true;
      ledger.pulse.post(
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
      ledger.pulse.after(
          COMMIT_WORD_MS,
          () -> {
            telling = false;
            if (toldCommit < ledger.commit()) {
              sendAll();
            }
          });
    }
  }

  private void sendAll() {
    if (ledger.leadsTerm()) {
      toldCommit = ledger.commit();
      for (final Map.Entry<String, PeerProgress> one : List.copyOf(standings.entrySet())) {
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
  private void send(final String identity, final PeerProgress standing) {
    final long nowMs = ledger.pulse.nowMs();
    final RaftLog log = ledger.log;
    if (standing.relay != null) {
      ledger.relay.tell(identity, standing, rounds.newest());
      return;
    }
    final boolean silent = nowMs - standing.heardMs > APPEND_AGAIN_MS;
    // A newcomer with nothing also needs to learn who votes, which only a snapshot tells.
    // None is built for a silent peer: it gets a beat, which it denies once it is back.
    final boolean behind =
        standing.next <= log.baseIndex()
            || standing.next == 1 && !ledger.voters().contains(identity);
    if (behind && (!silent || images.sends(identity))) {
      images.send(identity, nowMs);
      return;
    }
    final AppendEntriesRequest append = new AppendEntriesRequest();
    append.prevIndex = standing.next - 1;
    append.prevTerm = log.termAt(append.prevIndex);
    append.commit = ledger.commit();
    append.round = rounds.newest();
    append.quiet = !wanted;
    // A silent peer gets beats only: what it misses would pile up on its link.
    if (!silent) {
      append.entries = standing.slice(log, nowMs);
    }
    standing.next += append.entries.size();
    ledger.sendTo(identity, append);
  }

  void answered(final AppendEntriesResponse answer) {
    ledger.seen(answer.term);
    final PeerProgress standing = standings.get(answer.from);
    if (!ledger.leadsTerm() || answer.term != ledger.archive.term || standing == null) {
      return;
    }
    final boolean wasSilent = ledger.pulse.nowMs() - standing.heardMs > APPEND_AGAIN_MS;
    standing.heardMs = ledger.pulse.nowMs();
    standing.round = Math.max(standing.round, answer.round);
    if (answer.accepted) {
      standing.accepted(answer.match, standing.heardMs);
    } else {
      standing.next = Math.max(standing.match, Math.min(standing.next - 2, answer.match)) + 1;
    }
    if (standing.next <= ledger.log.lastIndex()
        && (!answer.accepted || wasSilent || standing.match == standing.next - 1)) {
      send(answer.from, standing);
    }
    advance();
    rounds.look(this);
    electorate.handOn(answer.from, standing);
  }

  void synced() {
    if (ledger.leadsTerm()) {
      advance();
    }
  }

  private void advance() {
    final List<String> voters = ledger.voters();
    final long[] matches = new long[voters.size()];
    for (int i = 0; i < matches.length; i++) {
      matches[i] =
          self(voters.get(i)) ? ledger.course.syncedIndex() : standing(voters.get(i)).match;
    }
    java.util.Arrays.sort(matches);
    final long majority = matches[(matches.length - 1) / 2];
    // Only entries of the own term are counted; older ones are committed along with them.
    if (majority > ledger.commit() && ledger.log.termAt(majority) == ledger.archive.term) {
      ledger.course.commitTo(majority);
      tellCommit();
    }
  }

  void advanced() {
    if (!announced && ledger.applied() >= firstIndex) {
      announced = true;
      ledger.announceLeading();
    }
    // A leader that voted itself out goes once that is committed.
    if (ledger.log.lastVotersIndex() <= ledger.commit()
        && !ledger.voters().contains(ledger.identity())) {
      ledger.follow(null);
    }
  }

  void confirm(final Consumer<Boolean> done) {
    rounds.ask(done);
    wanted = true;
    if (ledger.voters().size() == 1) {
      rounds.look(this);
    } else {
      sendSoon();
    }
  }

  void learn(final RaftMessages.JoinRequest join) {
    if (ledger.leadsTerm()) {
      standing(join.from).said(join, ledger.pulse.nowMs());
    }
  }
}
