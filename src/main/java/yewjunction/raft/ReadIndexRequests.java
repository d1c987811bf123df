package yewjunction.raft;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Questions whether this member still leads, each answered by a majority's answers to later
 * appends.
 */
final class ReadIndexRequests {
  private final RaftNode raftNode;
  private final List<PendingRead> questions = new ArrayList<>();
  private long newest;

  private record PendingRead(long round, Consumer<Boolean> done) {}

  ReadIndexRequests(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  long newest() {
    return newest;
  }

  long next() {
    return ++newest;
  }

  void ask(final Consumer<Boolean> done) {
    questions.add(new PendingRead(next(), done));
  }

  /** Answers what a majority has answered by now. */
  void look(final LeaderState leaderState) {
    if (questions.isEmpty()) {
      return;
    }
    final List<String> voters = raftNode.voters();
    final long[] rounds = new long[voters.size()];
    for (int i = 0; i < rounds.length; i++) {
      rounds[i] =
          voters.get(i).equals(raftNode.identity())
              ? newest
              : leaderState.standing(voters.get(i)).round;
    }
    Arrays.sort(rounds);
    final long majority = rounds[(rounds.length - 1) / 2];
    final List<PendingRead> answered =
        questions.stream().filter(question -> question.round <= majority).toList();
    questions.removeAll(answered);
    answered.forEach(question -> question.done.accept(true));
  }

  /** The leadership is over: whoever asked is told no. */
  void drop() {
    final List<PendingRead> owed = new ArrayList<>(questions);
    questions.clear();
    owed.forEach(question -> question.done.accept(false));
  }
}
