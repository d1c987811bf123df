package yewjunction.raft;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Memory in place of a disk, for a member on a machine that has none: it learns and never votes.
 */
public final class InMemoryDisk implements Disk {
  private final Map<String, byte[]> files = new HashMap<>();

  @Override
  public byte[] read(final String name) {
    return files.get(name);
  }

  @Override
  public void append(final String name, final byte[] bytes) {
    final byte[] old = files.getOrDefault(name, new byte[0]);
    final byte[] joined = Arrays.copyOf(old, old.length + bytes.length);
    System.arraycopy(bytes, 0, joined, old.length, bytes.length);
    files.put(name, joined);
  }

  @Override
  public void truncate(final String name, final long length) {
    files.put(name, Arrays.copyOf(files.get(name), (int) length));
  }

  @Override
  public void sync(final String name) {
    // Nothing outlasts the process, and nothing is promised.
  }

  @Override
  public void replace(final String name, final byte[] bytes) {
    files.put(name, bytes.clone());
  }
}
