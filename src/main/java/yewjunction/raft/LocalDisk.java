package yewjunction.raft;

import static java.nio.file.StandardCopyOption.ATOMIC_MOVE;
import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.TRUNCATE_EXISTING;
import static java.nio.file.StandardOpenOption.WRITE;
import static yewjunction.common.ErrorCode.STORAGE_FAILED;
import static yewjunction.common.ErrorCode.STORAGE_FULL;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Files of one folder on the machine's disk, each kept open once it was used; the process ends with
 * them open. Used by one thread at a time.
 *
 * <p>Every failure is a {@link StorageException}: STORAGE_FULL when what was written in part could
 * be taken back, so that the same write may be tried again, else STORAGE_FAILED.
 */
public final class LocalDisk implements Disk {
  private final Path folder;
  private final Map<String, FileChannel> openFiles = new HashMap<>();

  /** Makes the folder when there is none. */
  public LocalDisk(final Path folder) {
    this.folder = folder;
    try {
      Files.createDirectories(folder);
    } catch (final IOException failure) {
      throw new StorageException(STORAGE_FAILED, "cannot make " + folder, failure);
    }
  }

  private interface IoOperation<T> {
    T run() throws IOException;
  }

  private static <T> T withStorageErrors(final String what, final IoOperation<T> step) {
    try {
      return step.run();
    } catch (final IOException failure) {
      throw new StorageException(STORAGE_FAILED, what + ": " + failure.getMessage(), failure);
    }
  }

  private FileChannel channel(final String name) throws IOException {
    FileChannel channel = openFiles.get(name);
    if (channel == null) {
      channel = FileChannel.open(folder.resolve(name), CREATE, READ, WRITE);
      channel.position(channel.size());
      openFiles.put(name, channel);
    }
    return channel;
  }

  @Override
  public byte[] read(final String name) {
    return withStorageErrors(
        "read " + name,
        () -> Files.exists(folder.resolve(name)) ? Files.readAllBytes(folder.resolve(name)) : null);
  }

  @Override
  public void append(final String name, final byte[] bytes) {
    // Outside of what may be taken back: a file that cannot be opened keeps its length.
    final FileChannel channel = withStorageErrors("open " + name, () -> channel(name));
    final long before = withStorageErrors("position of " + name, channel::position);
    try {
      write(channel, bytes);
    } catch (final IOException failure) {
      // What was written in part is taken back, so that the same write can be tried again once
      // there is room.
      withStorageErrors("cut back " + name, () -> channel.truncate(before).position(before));
      throw new StorageException(
          STORAGE_FULL, "append " + name + ": " + failure.getMessage(), failure);
    }
  }

  private static void write(final FileChannel channel, final byte[] bytes) throws IOException {
    final ByteBuffer buffer = ByteBuffer.wrap(bytes);
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
  }

  @Override
  public void truncate(final String name, final long length) {
    withStorageErrors("cut " + name, () -> channel(name).truncate(length).position(length));
  }

  @Override
  public void sync(final String name) {
    withStorageErrors(
        "sync " + name,
        () -> {
          channel(name).force(false);
          return null;
        });
  }

  @Override
  public void replace(final String name, final byte[] bytes) {
    final Path fresh = folder.resolve(name + ".new");
    FileChannel written = null;
    try {
      written = FileChannel.open(fresh, CREATE, TRUNCATE_EXISTING, READ, WRITE);
      write(written, bytes);
      written.force(true);
      Files.move(fresh, folder.resolve(name), ATOMIC_MOVE);
    } catch (final IOException failure) {
      // The old file stays as it was. The new one is closed and deleted: an open file would keep
      // its room.
      final FileChannel given = written;
      withStorageErrors(
          "remove " + fresh,
          () -> {
            if (given != null) {
              given.close();
            }
            return Files.deleteIfExists(fresh);
          });
      throw new StorageException(
          STORAGE_FULL, "replace " + name + ": " + failure.getMessage(), failure);
    }
    final FileChannel channel = written;
    withStorageErrors(
        "replace " + name,
        () -> {
          try (FileChannel folderChannel = FileChannel.open(folder, READ)) {
            folderChannel.force(true);
          }
          // The renamed file stays open under its new name.
          final FileChannel old = openFiles.put(name, channel);
          if (old != null) {
            old.close();
          }
          return null;
        });
  }
}
