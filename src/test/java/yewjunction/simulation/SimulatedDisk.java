package yewjunction.simulation;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import yewjunction.raft.Disk;

/**
 * Files with what was synced and what was only written: at a loss of power the latter is present,
 * missing or torn.
 */
public final class SimulatedDisk implements Disk {
  private final Map<String, Bytes> synced = new HashMap<>();
  private final Map<String, List<byte[]>> written = new HashMap<>();

  /** A planted fault: says that it has synced, and has not. */
  public boolean lies;

  /** Grows without being copied at each sync: long runs would measure that and nothing else. */
  private static final class Bytes extends ByteArrayOutputStream {
    Bytes(final byte[] first) {
      writeBytes(first);
    }

    void flip(final int at) {
      buf[at] ^= 0x55;
    }
  }

  @Override
  public byte[] read(final String name) {
    final Bytes base = synced.get(name);
    final List<byte[]> pieces = written.getOrDefault(name, List.of());
    if (base == null && pieces.isEmpty()) {
      return null;
    }
    final ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(base == null ? new byte[0] : base.toByteArray());
    pieces.forEach(all::writeBytes);
    return all.toByteArray();
  }

  @Override
  public void append(final String name, final byte[] bytes) {
    written.computeIfAbsent(name, key -> new ArrayList<>()).add(bytes);
  }

  @Override
  public void truncate(final String name, final long length) {
    final byte[] all = read(name);
    written.remove(name);
    synced.put(name, new Bytes(Arrays.copyOf(all, (int) length)));
  }

  @Override
  public void sync(final String name) {
    final List<byte[]> pieces = lies ? null : written.remove(name);
    if (pieces != null) {
      final Bytes base = synced.computeIfAbsent(name, key -> new Bytes(new byte[0]));
      pieces.forEach(base::writeBytes);
    }
  }

  @Override
  public void replace(final String name, final byte[] bytes) {
    written.remove(name);
    synced.put(name, new Bytes(bytes));
  }

  /** Damages a byte of what was synced, as a bad disk would. */
  public void damage(final String name, final int at) {
    synced.get(name).flip(at);
  }

  void powerLost(final Random random) {
    final boolean allGone = random.nextInt(4) == 0;
    written.forEach(
        (name, pieces) -> {
          final ByteArrayOutputStream all = new ByteArrayOutputStream();
          all.writeBytes(synced.containsKey(name) ? synced.get(name).toByteArray() : new byte[0]);
          final ByteArrayOutputStream tail = new ByteArrayOutputStream();
          boolean present = false;
          for (final byte[] piece : pieces) {
            final int fate = allGone ? 1 : random.nextInt(3);
            // A missing write before a present one leaves a hole of zeros.
            final byte[] kept = fate == 0 ? piece : new byte[piece.length];
            if (fate == 2) {
              System.arraycopy(piece, 0, kept, 0, random.nextInt(piece.length + 1));
            }
            present |= fate != 1;
            tail.writeBytes(kept);
          }
          if (present) {
            all.writeBytes(tail.toByteArray());
          }
          if (all.size() > 0) {
            synced.put(name, new Bytes(all.toByteArray()));
          }
        });
    written.clear();
  }
}
