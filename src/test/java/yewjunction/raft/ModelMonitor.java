package yewjunction.raft;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Remembers what was promised over a whole run, and says when a promise is broken. */
final class ModelMonitor {
  private final ModelWorld world;

  /** What was committed, by whom first in which term. */
  final TreeMap<Long, Committed> history = new TreeMap<>();

  final Map<Long, String> leaders = new HashMap<>();
  private final Map<ModelHost, long[]> seen = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private long acknowledgements;

  /** The voters by the newest leader, whether they are committed or not. */
  private List<String> newestVoters = List.of();

  private long newestTerm;

  /** An entry that some member has applied. */
  record Committed(long term, int kind, long value, long inTerm) {}

  ModelMonitor(final ModelWorld world) {
    this.world = world;
  }

  long acknowledgements() {
    return acknowledgements;
  }

  /** What decides how much more may be lost. */
  List<Object> newest() {
    return List.of(newestTerm, newestVoters);
  }

  private static void violated(final String text) {
    throw new ModelViolation(text);
  }

  void booted(final ModelHost host) {
    seen.remove(host);
  }

  private static long valueOf(final LogEntry entry) {
    return entry.kind == LogEntry.DATA
        ? ByteBuffer.wrap(entry.data).getLong()
        : java.util.Arrays.hashCode(entry.data);
  }

  /** After each turn of a member. */
  void look(final ModelHost host) {
    if (!broken.isEmpty()) {
      violated(broken.get(0));
    }
    if (!host.up()) {
      return;
    }
    final RaftNode raftNode = host.raftNode;
    // Applied index, restored index, term led.
    final long[] last = seen.computeIfAbsent(host, key -> new long[3]);
    if (host.recording.restoredTo > last[1]) {
      last[1] = host.recording.restoredTo;
      host.recording.applied.forEach(
          (index, value) -> same(host, index, history.get(index), value));
    }
    if (raftNode.isLeader()) {
      if (raftNode.currentTerm() >= newestTerm) {
        newestTerm = raftNode.currentTerm();
        newestVoters = raftNode.voters();
      }
    }
    boolean news = false;
    for (long index = Math.max(last[0], raftNode.log().snapshotIndex()) + 1;
        index <= raftNode.appliedIndex();
        index++) {
      news |= applied(host, index, raftNode.log().get(index));
    }
    last[0] = raftNode.appliedIndex();
    if (raftNode.isLeader() && last[2] != raftNode.currentTerm()) {
      last[2] = raftNode.currentTerm();
      final String known = leaders.putIfAbsent(raftNode.currentTerm(), raftNode.identity());
      if (known != null && !known.equals(raftNode.identity())) {
        violated(
            "one leader a term: "
                + known
                + " and "
                + raftNode.identity()
                + " in term "
                + raftNode.currentTerm());
      }
      complete(host);
    }
    if (news) {
      world.hosts.stream()
          .filter(other -> other.up() && other.raftNode.isLeader())
          .forEach(this::complete);
    }
  }

  private boolean diskGone(final String voter) {
    final ModelHost host = world.at(RaftNode.addressOf(voter));
    return host.wipes > 0 && !voter.equals(onDisk(host).identity());
  }

  private void same(
      final ModelHost host, final long index, final Committed committed, final long value) {
    if (committed == null || committed.kind != LogEntry.DATA || committed.value != value) {
      violated(
          "agreement: "
              + host.address
              + " holds "
              + value
              + " at "
              + index
              + ", committed was "
              + committed);
    }
  }

  /** True when nobody had applied it before. */
  private boolean applied(final ModelHost host, final long index, final LogEntry entry) {
    final Committed known = history.get(index);
    if (known == null) {
      final long inTerm = host.raftNode.currentTerm();
      history.put(index, new Committed(entry.term, entry.kind, valueOf(entry), inTerm));
      durable(host.raftNode, index, entry.term);
      return true;
    }
    if (known.term != entry.term || known.kind != entry.kind || known.value != valueOf(entry)) {
      violated(
          "agreement: "
              + host.address
              + " applied term "
              + entry.term
              + " value "
              + valueOf(entry)
              + " at "
              + index
              + ", committed was "
              + known);
    }
    return false;
  }

  /** Whoever leads holds all that earlier terms committed. */
  private void complete(final ModelHost host) {
    final RaftNode raftNode = host.raftNode;
    history.forEach(
        (index, committed) -> {
          final boolean confirmed =
              index <= raftNode.log().snapshotIndex()
                  || raftNode.log().termAt(index) == committed.term;
          if (committed.inTerm < raftNode.currentTerm() && !confirmed) {
            violated(
                "nothing committed is lost: "
                    + host.address
                    + " leads term "
                    + raftNode.currentTerm()
                    + " without "
                    + index
                    + " "
                    + committed);
          }
        });
  }

  /**
   * What is committed lies on a majority of the voters' disks as a loss of power would leave them.
   */
  private void durable(final RaftNode raftNode, final long index, final long term) {
    final List<String> voters = raftNode.voters();
    int held = 0;
    for (final String voter : voters) {
      final RaftStorage storage = onDisk(world.at(RaftNode.addressOf(voter)));
      // A disk that was lost after it had taken the entry counts as one of the losses that are
      // borne.
      held +=
          diskGone(voter) || voter.equals(storage.identity()) && holds(storage, index, term)
              ? 1
              : 0;
    }
    if (held * 2 <= voters.size()) {
      violated(
          "committed is durable: "
              + index
              + " of term "
              + term
              + " lies on "
              + held
              + " disks of "
              + voters);
    }
  }

  private static boolean holds(final RaftStorage storage, final long index, final long term) {
    return storage.log().snapshotIndex() >= index || storage.log().termAt(index) == term;
  }

  private static RaftStorage onDisk(final ModelHost host) {
    final ModelDisk copy = new ModelDisk(false);
    if (host.disk.durable() != null) {
      copy.replace("", host.disk.durable());
    }
    return new RaftStorage(new AppendOnlyFile(copy, null, ""));
  }

  void acknowledged(final long index, final long value) {
    acknowledgements++;
    // Told while it is being applied: the history has it after the turn, so it is compared with the
    // log.
    for (final ModelHost host : world.hosts) {
      if (host.up()
          && host.raftNode.appliedIndex() >= index
          && !Long.valueOf(value).equals(host.recording.applied.get(index))) {
        broken.add(
            "acknowledged is applied: "
                + value
                + " at "
                + index
                + ", "
                + host.address
                + " has "
                + host.recording.applied.get(index));
      }
    }
  }

  /** A yes is a fact only when no later leader had had anything committed before the question. */
  void confirms(final ModelHost host) {
    final long term = host.raftNode.currentTerm();
    final boolean deposed =
        history.values().stream().anyMatch(committed -> committed.inTerm > term);
    host.raftNode.confirmLeadership(
        yes -> {
          if (yes && deposed) {
            broken.add(
                "no fact from a deposed leader: " + host.address + " confirmed term " + term);
          }
        });
    host.runCommands();
  }

  /**
   * Whether one more machine may lose its disk without more losses at once than are borne. A
   * machine counts as lost until its new disk holds what is committed, a spare like a voter, and a
   * vote until its holder votes by all accounts.
   */
  boolean mayLose(final ModelHost host) {
    final long good = world.hosts.stream().filter(this::good).count();
    final long missingVotes =
        Math.max(world.setup.targetVoters(), newestVoters.size()) - good + (good(host) ? 1 : 0);
    final long disks =
        world.hosts.stream().filter(other -> other == host || !whole(onDisk(other), other)).count();
    return Math.max(missingVotes, disks) <= world.setup.tolerates();
  }

  private boolean whole(final RaftStorage storage, final ModelHost host) {
    return host.wipes == 0
        || history.isEmpty()
        || holds(storage, history.lastKey(), history.lastEntry().getValue().term);
  }

  /**
   * It votes by all disks that know any voters, and holds what was committed if it ever lost that.
   */
  private boolean good(final ModelHost host) {
    final RaftStorage storage = onDisk(host);
    if (storage.identity() == null) {
      return false;
    }
    boolean votes = newestVoters.isEmpty() || newestVoters.contains(storage.identity());
    for (final ModelHost other : world.hosts) {
      final RaftLog log = onDisk(other).log();
      final List<String> voters = log.votersAt(log.lastIndex());
      votes &= voters.isEmpty() || voters.contains(storage.identity());
      // One that is being voted out is lost already, whatever the disks say yet.
      votes &=
          !other.up()
              || other.raftNode.voters().isEmpty()
              || other.raftNode.voters().contains(storage.identity());
    }
    return votes && whole(storage, host);
  }

  boolean allVotesHeld() {
    final ModelHost leader =
        world.hosts.stream().filter(host -> host.raftNode.isReadyLeader()).findFirst().orElse(null);
    return leader != null
        && leader.raftNode.voters().size() == world.setup.targetVoters()
        && leader.raftNode.voters().stream()
            .allMatch(
                voter -> voter.equals(world.at(RaftNode.addressOf(voter)).raftNode.identity()));
  }

  List<String> standing() {
    return world.hosts.stream()
        .filter(ModelHost::up)
        .map(host -> host.raftNode)
        .map(RaftNodeText::of)
        .toList();
  }
}
