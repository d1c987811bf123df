package yewjunction.raft;

import static yewjunction.common.ErrorCode.STORAGE_DAMAGED;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import yewjunction.common.LogEvent;

/**
 * An append-only file of checksummed records. Records that wait while the disk works are written
 * and synced together. A long file is replaced by a shorter one: the new content stands for all
 * that was appended before it.
 *
 * <p>Calls and callbacks on the agent's thread, disk work on the {@link TaskExecutor}; nothing is
 * shared but the bytes handed over.
 */
final class AppendOnlyFile {
  private final Disk disk;
  private final TaskExecutor executor;
  private final String name;
  private List<PendingRecord> pending = new ArrayList<>();
  private boolean writing;
  private long length;
  private List<LogRecord.Content> rewrittenContent;

  private record PendingRecord(int kind, byte[] body, Runnable onSynced) {}

  AppendOnlyFile(final Disk disk, final TaskExecutor executor, final String name) {
    this.disk = disk;
    this.executor = executor;
    this.name = name;
  }

  /** Reads the file and truncates a torn tail. Blocks: called at start, before any traffic. */
  List<LogRecord.Content> open() {
    final byte[] bytes = disk.read(name);
    if (bytes == null) {
      return List.of();
    }
    final LogRecord.ScanResult scan = LogRecord.scan(bytes);
    if (scan.damaged()) {
      throw new StorageException(
          STORAGE_DAMAGED,
          name + " is damaged at byte " + scan.validBytes() + " of " + bytes.length);
    }
    if (scan.validBytes() < bytes.length) {
      LogEvent.LOG_TAIL_TRUNCATED.warn(
          name + " at byte " + scan.validBytes() + " of " + bytes.length);
      disk.truncate(name, scan.validBytes());
    }
    // Synced before anything builds on it: what was read may be in the page cache only.
    disk.sync(name);
    length = scan.validBytes();
    return scan.records();
  }

  long length() {
    return length;
  }

  void append(final int kind, final byte[] body, final Runnable synced) {
    pending.add(new PendingRecord(kind, body, synced));
    if (!writing) {
      writeNextBatch();
    }
  }

  /**
   * Replaces the file by content that stands for all that was appended so far; what comes later is
   * appended behind it.
   */
  void rewrite(final List<LogRecord.Content> content, final Runnable synced) {
    // Pending records are part of the new content already; only their callbacks remain to be run.
    final List<PendingRecord> covered = pending;
    pending = new ArrayList<>();
    rewrittenContent = content;
    pending.add(
        new PendingRecord(
            -1,
            null,
            () -> {
              covered.forEach(record -> record.onSynced.run());
              synced.run();
            }));
    if (!writing) {
      writeNextBatch();
    }
  }

  private void writeNextBatch() {
    writing = true;
    final List<PendingRecord> batch = pending;
    final List<LogRecord.Content> content = rewrittenContent;
    pending = new ArrayList<>();
    rewrittenContent = null;
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    if (content != null) {
      content.forEach(
          record -> bytes.writeBytes(LogRecord.encode(record.kind(), record.body(), 0)));
    }
    final long syncedTo = content != null ? 0 : length;
    for (final PendingRecord record : batch) {
      if (record.kind >= 0) {
        bytes.writeBytes(LogRecord.encode(record.kind, record.body, syncedTo));
      }
    }
    length = (content != null ? 0 : length) + bytes.size();
    executor.execute(
        () -> {
          if (content != null) {
            disk.replace(name, bytes.toByteArray());
          } else {
            disk.append(name, bytes.toByteArray());
            disk.sync(name);
          }
        },
        () -> {
          writing = false;
          // The next batch starts before the callbacks, so that the disk is never idle while
          // records wait.
          if (!pending.isEmpty()) {
            writeNextBatch();
          }
          batch.forEach(record -> record.onSynced.run());
        });
  }
}
