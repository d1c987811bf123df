package yewjunction.raft;

/** The few disk operations a log needs; names are inside one folder. */
public interface Disk {
  /** All bytes, or null when there is no such file. */
  byte[] read(String name);

  void append(String name, byte[] bytes);

  void truncate(String name, long length);

  void sync(String name);

  /** Writes a new file, syncs it, puts it in the place of the old one and syncs the folder. */
  void replace(String name, byte[] bytes);
}
