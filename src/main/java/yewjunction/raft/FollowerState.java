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
  private final RaftNode ledger;
  private final List<PendingResponse> waiting = new ArrayList<>();

  /** An answer owed once the disk holds the entries it speaks of. */
  private record PendingResponse(PeerConnection link, AppendEntriesRequest append, long match) {}

  FollowerState(final RaftNode ledger) {
    this.ledger = ledger;
  }

  void join(final String peerAddress, final boolean wantsVote, final boolean leaves) {
    final JoinRequest join = ledger.addressed(new JoinRequest(), null);
    join.wantsVote = wantsVote;
    join.leaves = leaves ? true : null;
    ledger.introductions.send(ledger.post.dial(peerAddress), join);
  }

  void ask(final PeerConnection link, final VoteRequest ask) {
    final RaftStorage archive = ledger.archive;
    final boolean logServes =
        ask.lastTerm > ledger.log.lastTerm()
            || ask.lastTerm == ledger.log.lastTerm() && ask.lastIndex >= ledger.log.lastIndex();
    // Whoever hears a leader keeps to it: a peer with a bad link must not unseat a good leader.
    if (ledger.heardLately() && !ask.handedOver) {
      answer(link, ask, false, archive.term);
      return;
    }
    if (ask.pre) {
      final boolean granted = ask.term > archive.term && logServes;
      answer(link, ask, granted, granted ? ask.term : archive.term);
      return;
    }
    ledger.seen(ask.term);
    final boolean granted =
        ask.term == archive.term
            && logServes
            && (archive.votedFor.isEmpty() || archive.votedFor.equals(ask.from));
    if (!granted) {
      answer(link, ask, false, archive.term);
      return;
    }
    ledger.restartClock();
    archive.saveVote(ask.term, ask.from, () -> answer(link, ask, true, ask.term));
  }

  private void answer(
      final PeerConnection link, final VoteRequest ask, final boolean granted, final long term) {
    final VoteResponse answer =
        RaftMessages.withTerm(ledger.addressed(new VoteResponse(), ask.from), term);
    answer.pre = ask.pre;
    answer.granted = granted;
    ledger.introductions.send(link, answer);
  }

  /** True when the letter comes from the leader of the current term. */
  private boolean accepted(final RaftMessages.RaftMessage letter) {
    ledger.seen(letter.term);
    if (letter.term < ledger.archive.term) {
      return false;
    }
    // Invariant: one leader a term.
    if (ledger.leadsTerm()) {
      throw new IllegalStateException("two leaders in term " + letter.term);
    }
    ledger.follow(letter.from);
    return true;
  }

  void append(final PeerConnection link, final AppendEntriesRequest append) {
    final RaftLog log = ledger.log;
    if (!accepted(append)) {
      answer(link, append, false, 0);
      return;
    }
    ledger.heardOn(link);
    ledger.relay.source(append.relay);
    ledger.membership.told(append.commit);
    final boolean behindBase = append.prevIndex < log.baseIndex();
    if (!behindBase && log.termAt(append.prevIndex) != append.prevTerm) {
      answer(link, append, false, Math.min(log.lastIndex(), append.prevIndex - 1));
      return;
    }
    final List<LogEntry> fresh = new ArrayList<>();
    for (final LogEntry entry : append.entries) {
      // What the snapshot covers was committed and is the same everywhere.
      if (entry.index <= log.baseIndex()) {
        continue;
      }
      if (fresh.isEmpty() && log.termAt(entry.index) == entry.term) {
        continue;
      }
      if (fresh.isEmpty() && entry.index <= log.lastIndex()) {
        ledger.course.cutFrom(entry.index);
      }
      fresh.add(entry);
    }
    ledger.course.write(fresh);
    long match = Math.max(append.prevIndex + append.entries.size(), log.baseIndex());
    ledger.course.commitTo(Math.min(append.commit, match));
    // What was committed here on another's word the leader has, too: so it hears how far a relayed
    // member is.
    match = append.relay == null ? match : Math.max(match, ledger.commit());
    if (append.quiet && append.entries.isEmpty()) {
      return;
    }
    if (match <= ledger.course.syncedIndex() || append.entries.isEmpty()) {
      answer(link, append, true, Math.min(match, ledger.course.syncedIndex()));
    } else {
      waiting.add(new PendingResponse(link, append, match));
    }
  }

  void synced() {
    if (waiting.isEmpty()) {
      return;
    }
    final List<PendingResponse> owed = new ArrayList<>(waiting);
    waiting.clear();
    for (final PendingResponse one : owed) {
      if (one.append.term != ledger.archive.term) {
        continue;
      }
      if (one.match <= ledger.course.syncedIndex()) {
        answer(one.link, one.append, true, one.match);
      } else {
        waiting.add(one);
      }
    }
  }

  private void answer(
      final PeerConnection link,
      final AppendEntriesRequest append,
      final boolean accepted,
      final long match) {
    final AppendEntriesResponse answer = ledger.addressed(new AppendEntriesResponse(), append.from);
    answer.accepted = accepted;
    answer.match = match;
    // The answer bears this member's term: a round counts in it only if it was asked in it.
    answer.round = append.term == answer.term ? append.round : 0;
    ledger.introductions.send(link, answer);
  }

  void image(final PeerConnection link, final InstallSnapshotRequest image) {
    if (!accepted(image)) {
      return;
    }
    final AppendEntriesRequest asked = new AppendEntriesRequest();
    asked.from = image.from;
    // The entry that a snapshot ends with is here: so is all before it, and what is behind it must
    // stay.
    if (ledger.log.termAt(image.lastIndex) == image.lastTerm) {
      ledger.course.commitTo(image.lastIndex);
    }
    // What is committed here the leader has too: said so, or it would send the same again and
    // again.
    if (image.lastIndex <= ledger.commit()) {
      answer(link, asked, true, Math.min(ledger.commit(), ledger.course.syncedIndex()));
      return;
    }
    final byte[] state = ledger.leading.images.taken(image);
    if (state == null) {
      return;
    }
    waiting.clear();
    ledger.course.installed(
        image.lastIndex,
        image.lastTerm,
        image.voters,
        state,
        () -> answer(link, asked, true, image.lastIndex));
  }
}
