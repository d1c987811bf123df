package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads a log's entries from a member's disk, past all code that applies them. */
public final class LogReader {
  private LogReader() {}

  /**
   * Adds what that disk holds up to an index; where two disks hold the same entry they must agree.
   */
  public static void readData(
      final Disk disk, final String name, final long upTo, final Map<Long, byte[]> entries) {
    final RaftStorage storage =
        new RaftStorage(new AppendOnlyFile(disk, (blocking, continuation) -> {}, name));
    for (long index = storage.log().snapshotIndex() + 1;
        index <= Math.min(upTo, storage.log().lastIndex());
        index++) {
      final LogEntry entry = storage.log().get(index);
      if (entry.kind == LogEntry.DATA) {
        final byte[] known = entries.putIfAbsent(index, entry.data);
        if (known != null) {
          assertArrayEquals(known, entry.data, "entry " + index);
        }
      }
    }
  }

  /** The addresses that vote by what that disk holds. */
  public static List<String> voters(final Disk disk, final String name) {
    final RaftLog log =
        new RaftStorage(new AppendOnlyFile(disk, (blocking, continuation) -> {}, name)).log();
    return log.votersAt(log.lastIndex()).stream().map(RaftNode::addressOf).toList();
  }

  /** Plants a fault: a member that asks to be brought up to date is not understood. */
  public static void drownJoins(final Object message) {
    if (message instanceof RaftMessages.JoinRequest request) {
      request.group = -1;
    }
  }

  public static Map<Long, byte[]> none() {
    return new TreeMap<>();
  }
}
