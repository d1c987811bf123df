package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;

/** Members with large states behind narrow links. */
class SnapshotSimulation extends RaftSimulation {
  /** Bytes a second of a link of 2 Mbit/s. */
  static final long NARROW = 250_000;

  private long loaded;

  void beginNarrow(final long seed, final int stateBytes, final long fileBytes) {
    begin(seed);
    assertTrue(world.runUntil(() -> acknowledged.size() > 50, 10_000));
    while (world.host("a:1").disk.read("ledger").length < fileBytes) {
      propose(20_000);
      world.runFor(20);
    }
    ballast = stateBytes;
    addresses.forEach(address -> world.narrow(address, NARROW));
  }

  void propose(final int bytes) {
    if (leader() != null) {
      leader()
          .propose(
              ByteBuffer.allocate(bytes).putLong(1_000_000_000 + loaded++).array(), done -> {});
    }
  }
}
