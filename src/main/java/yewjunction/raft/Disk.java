package yewjunction.raft;

/**
 * The operations on files that a log needs. Names are those of files in one folder. Blocking:
 * called at start, and then only on a {@link TaskExecutor}. Every failure is a {@link
 * StorageException}.
 */
public interface Disk {
  /** All bytes, or null when there is no such file. */
  byte[] read(String name);

  /**
   * Adds bytes at the end of a file, which is made when there is none.
   *
   * @throws StorageException STORAGE_FULL when nothing was written for lack of room
   */
  void append(String name, byte[] bytes);

  /** Shortens a file. */
  void truncate(String name, long length);

  /** Returns once all that was written to the file is on the disk. */
  void sync(String name);

  /** Writes a new file, syncs it, puts it in the place of the old one and syncs the folder. */
  void replace(String name, byte[] bytes);
}
