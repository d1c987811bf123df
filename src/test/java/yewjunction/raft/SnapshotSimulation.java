package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;

/** Members with large states behind narrow connections. */
class SnapshotSimulation extends RaftSimulation {
  /** Bytes a second of a connection of 2 Mbit/s. */
  static final long NARROW = 250_000;

  private long loaded;

  void beginNarrow(final long seed, final int stateBytes, final long fileBytes) {
    begin(seed);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    while (network.host("a:1").disk.read("log").length < fileBytes) {
      propose(20_000);
      network.runFor(20);
    }
    ballast = stateBytes;
    addresses.forEach(address -> network.narrow(address, NARROW));
  }

  void propose(final int bytes) {
    if (leader() != null) {
      leader()
          .propose(
              ByteBuffer.allocate(bytes).putLong(1_000_000_000 + loaded++).array(), done -> {});
    }
  }
}
