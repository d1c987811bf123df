package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;
import yewjunction.simulation.SimulatedTransport;

/** Three members on simulated machines, a steady load, and what must hold at every moment. */
class RaftSimulation {
  static final List<String> SPARES = List.of("a:2", "a:3", "b:2", "d:1", "d:2");
  final List<String> addresses = List.of("a:1", "b:1", "c:1");
  final Map<String, RaftNode> members = new TreeMap<>();
  final Map<String, RecordingStateMachine> recordings = new HashMap<>();

  /** What any member applied at an index, over the whole run. */
  private final Map<Long, Long> history = new TreeMap<>();

  final Set<Long> acknowledged = new HashSet<>();
  private final Map<Long, String> leaders = new HashMap<>();
  SimulatedNetwork network;

  /** Addresses that are to hold no vote. */
  final Map<String, Boolean> leaving = new TreeMap<>();

  /**
   * The planted fault: addresses that nobody asks who leads, as if only a former leader were known.
   */
  final Set<String> forgotten = new HashSet<>();

  /** Bytes that each snapshot holds beside what its member was told. */
  int ballast;

  /** Plants a fault in messages that are taken. */
  Consumer<Object> tampering = message -> {};

  /** No proposals for the while. */
  boolean quiet;

  /** How many snapshots were built, by all members together. */
  int snapshots;

  long proposed;
  private int drawn;

  /** A machine that only remembers. */
  final class RecordingStateMachine implements StateMachine {
    final TreeMap<Long, Long> applied = new TreeMap<>();
    private long last;

    @Override
    public void apply(final long index, final byte[] data) {
      assertTrue(index > last, "index " + index + " after " + last);
      last = index;
      put(index, ByteBuffer.wrap(data).getLong());
    }

    private void put(final long index, final long value) {
      applied.put(index, value);
      final Long known = history.putIfAbsent(index, value);
      assertTrue(known == null || known == value, "two values at " + index);
    }

    @Override
    public byte[] snapshot() {
      snapshots++;
      // As the stores' state does, it differs from one moment to the next without any entry:
      // stamped at both ends.
      final ByteBuffer bytes = ByteBuffer.allocate(20 + 16 * applied.size() + ballast);
      bytes.putLong(network.nowMs()).putInt(applied.size());
      applied.forEach((index, value) -> bytes.putLong(index).putLong(value));
      return bytes.putLong(bytes.limit() - 8, network.nowMs()).array();
    }

    @Override
    public void restore(final long index, final byte[] state) {
      applied.clear();
      final ByteBuffer bytes = ByteBuffer.wrap(state);
      assertEquals(
          bytes.getLong(), bytes.getLong(state.length - 8), "a snapshot put together from two");
      for (int left = bytes.getInt(); left > 0; left--) {
        put(bytes.getLong(), bytes.getLong());
      }
      last = index;
    }
  }

  void boot(final String address, final boolean founder) {
    final SimulatedHost host = network.host(address);
    final SimulatedTransport post = host.boot();
    host.messageFilter = tampering;
    final RecordingStateMachine recording = new RecordingStateMachine();
    final RaftNode raftNode =
        new RaftNode(7, host, post, host.disk, host.executor(), "log", recording);
    raftNode.registerHandlers();
    raftNode
        .reconfiguration()
        .setPlacement(new VoterPlacement(3, leaving::keySet, one -> one.substring(0, 1)));
    if (raftNode.identity() == null) {
      raftNode.assignIdentity(address + "#" + (founder ? "founder" : "drawn" + drawn++));
      if (founder) {
        raftNode.bootstrap(addresses.stream().map(one -> one + "#founder").toList());
      }
    }
    raftNode.start();
    raftNode
        .groupMembership()
        .start(
            () ->
                members.keySet().stream()
                    .filter(one -> !one.equals(address) && !forgotten.contains(one))
                    .toList(),
            () -> true);
    members.put(address, raftNode);
    recordings.put(address, recording);
  }

  void begin(final long seed) {
    network = new SimulatedNetwork(seed);
    addresses.forEach(address -> boot(address, true));
    network.every(
        7,
        () -> {
          final List<String> all = List.copyOf(members.keySet());
          final RaftNode raftNode = members.get(all.get(network.random.nextInt(all.size())));
          if (!quiet
              && network.host(RaftNode.addressOf(raftNode.identity())).up()
              && raftNode.isReadyLeader()) {
            final long value = ++proposed;
            raftNode.propose(
                ByteBuffer.allocate(8).putLong(value).array(),
                done -> {
                  if (done) {
                    acknowledged.add(value);
                  }
                });
          }
          for (final RaftNode one : members.values()) {
            if (one.isLeader() && network.host(RaftNode.addressOf(one.identity())).up()) {
              final String known = leaders.putIfAbsent(one.currentTerm(), one.identity());
              assertTrue(
                  known == null || known.equals(one.identity()),
                  "two leaders in term " + one.currentTerm());
            }
          }
        });
  }

  /** Members without a vote, in zones with a voter and without one; served for a while. */
  void beginWithSpares(final long seed) {
    begin(seed);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    SPARES.forEach(spare -> boot(spare, false));
    network.runFor(3_000);
  }

  RaftNode leader() {
    return members.values().stream()
        .filter(one -> network.host(RaftNode.addressOf(one.identity())).up() && one.isReadyLeader())
        .findFirst()
        .orElse(null);
  }

  void checkAll() {
    network.join();
    network.loss = 0;
    for (final String address : addresses) {
      if (!network.host(address).up()) {
        boot(address, false);
      }
    }
    final long before = acknowledged.size();
    assertTrue(
        network.runUntil(() -> acknowledged.size() > before + 20, 20_000),
        "no progress when all is well again "
            + members.values().stream().map(RaftNodeText::of).toList());
    network.runFor(2_000);
    // The load goes on: what is acknowledged this very moment is told to the others within a
    // heartbeat.
    final Set<Long> owed = Set.copyOf(acknowledged);
    network.runFor(100);
    for (final String address : addresses) {
      assertTrue(
          recordings.get(address).applied.values().containsAll(owed),
          address + " lacks an acknowledged entry");
      assertTrue(
          leader().voters().contains(members.get(address).identity()),
          address + " does not vote again");
    }
  }
}
