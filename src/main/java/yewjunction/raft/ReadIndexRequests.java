package yewjunction.raft;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Requests to confirm that this member still leads: the ReadIndex of the Raft dissertation. Each
 * belongs to a round, and is answered once a majority has responded to an append of that round or a
 * later one.
 *
 * <p>Owned by {@link LeaderState}; all calls on the agent's thread.
 */
final class ReadIndexRequests {
  private final RaftNode raftNode;
  private final List<PendingRead> pending = new ArrayList<>();
  private long newestRound;

  private record PendingRead(long round, Consumer<Boolean> onConfirmed) {}

  ReadIndexRequests(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  long newestRound() {
    return newestRound;
  }

  long nextRound() {
    return ++newestRound;
  }

  void add(final Consumer<Boolean> done) {
    pending.add(new PendingRead(nextRound(), done));
  }

  /** Completes the requests that a majority has confirmed by now. */
  void completeConfirmed(final LeaderState leaderState) {
    if (pending.isEmpty()) {
      return;
    }
    final List<String> voters = raftNode.voters();
    final long[] rounds = new long[voters.size()];
    for (int i = 0; i < rounds.length; i++) {
      rounds[i] =
          voters.get(i).equals(raftNode.identity())
              ? newestRound
              : leaderState.progressOf(voters.get(i)).confirmedRound;
    }
    Arrays.sort(rounds);
    final long majority = rounds[(rounds.length - 1) / 2];
    final List<PendingRead> confirmed =
        pending.stream().filter(question -> question.round <= majority).toList();
    pending.removeAll(confirmed);
    confirmed.forEach(question -> question.onConfirmed.accept(true));
  }

  /** The leadership has ended: all requests fail. */
  void failAll() {
    final List<PendingRead> failed = new ArrayList<>(pending);
    pending.clear();
    failed.forEach(question -> question.onConfirmed.accept(false));
  }
}
