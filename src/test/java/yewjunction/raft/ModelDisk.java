package yewjunction.raft;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One log file: what would outlast a loss of power, and what was only written. */
final class ModelDisk implements Disk {
  /** What becomes of bytes that were written and not synced, and of the write under way. */
  static final int LOST = 0;

  static final int TORN = 1;
  static final int WHOLE = 2;
  static final int HOLED = 3;

  private byte[] synced;
  private final List<byte[]> written = new ArrayList<>();

  /** The whole file was put in place at once. */
  boolean replaced;

  /** Planted: a sync that only says so. */
  private final boolean skipsSync;

  ModelDisk(final boolean skipsSync) {
    this.skipsSync = skipsSync;
  }

  @Override
  public byte[] read(final String name) {
    if (synced == null && written.isEmpty()) {
      return null;
    }
    return joined(written);
  }

  private byte[] joined(final List<byte[]> tail) {
    final ByteArrayOutputStream all = new ByteArrayOutputStream();
    if (synced != null) {
      all.writeBytes(synced);
    }
    tail.forEach(all::writeBytes);
    return all.toByteArray();
  }

  @Override
  public void append(final String name, final byte[] bytes) {
    written.add(bytes);
  }

  @Override
  public void truncate(final String name, final long length) {
    synced = Arrays.copyOf(read(name), (int) length);
    written.clear();
  }

  @Override
  public void sync(final String name) {
    if (!skipsSync && !written.isEmpty()) {
      synced = joined(written);
      written.clear();
    }
  }

  @Override
  public void replace(final String name, final byte[] bytes) {
    synced = bytes.clone();
    written.clear();
    replaced = true;
  }

  /** The file as a loss of power would leave it at worst. */
  byte[] durable() {
    return synced;
  }

  boolean hasUnsynced() {
    return !written.isEmpty();
  }

  /** The process or its machine stopped; the write under way was begun here before. */
  void stopped(final int fate) {
    if (written.isEmpty()) {
      return;
    }
    final byte[] tail = new byte[joined(written).length - (synced == null ? 0 : synced.length)];
    int at = 0;
    for (final byte[] piece : written) {
      System.arraycopy(piece, 0, tail, at, piece.length);
      at += piece.length;
    }
    written.clear();
    final byte[] kept =
        switch (fate) {
          case LOST -> new byte[0];
          case TORN -> Arrays.copyOf(tail, tail.length / 2);
          case WHOLE -> tail;
          default -> {
            // The second half reached the disk, the first did not.
            Arrays.fill(tail, 0, tail.length / 2, (byte) 0);
            yield tail;
          }
        };
    if (synced != null || kept.length > 0) {
      synced = joined(List.of(kept));
    }
  }
}
