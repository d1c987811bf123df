package yewjunction.raft;

import static yewjunction.common.ErrorCode.STORAGE_DAMAGED;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import yewjunction.common.LogEvent;

/** An append-only file of records that is synced in groups and rewritten when it gets long. */
final class AppendOnlyFile {
  private final Disk disk;
  private final TaskExecutor executor;
  private final String name;
  private List<PendingRecord> waiting = new ArrayList<>();
  private boolean busy;
  private long length;
  private List<LogRecord.Content> newContent;

  private record PendingRecord(int kind, byte[] body, Runnable synced) {}

  AppendOnlyFile(final Disk disk, final TaskExecutor executor, final String name) {
    this.disk = disk;
    this.executor = executor;
    this.name = name;
  }

  /** Reads the file at start, before any traffic: blocking is right here. */
  List<LogRecord.Content> open() {
    final byte[] bytes = disk.read(name);
    if (bytes == null) {
      return List.of();
    }
    final LogRecord.ScanResult reading = LogRecord.read(bytes);
    if (reading.damaged()) {
      throw new StorageException(
          STORAGE_DAMAGED,
          name + " is damaged at byte " + reading.goodBytes() + " of " + bytes.length);
    }
    if (reading.goodBytes() < bytes.length) {
      LogEvent.TAIL_CUT.warn(name + " at byte " + reading.goodBytes() + " of " + bytes.length);
      disk.cut(name, reading.goodBytes());
    }
    // Synced before anything builds on it: what was read may not have reached the disk yet.
    disk.sync(name);
    length = reading.goodBytes();
    return reading.pieces();
  }

  long length() {
    return length;
  }

  void append(final int kind, final byte[] body, final Runnable synced) {
    waiting.add(new PendingRecord(kind, body, synced));
    if (!busy) {
      next();
    }
  }

  /**
   * The new content stands for all that was appended so far; what comes later is appended behind
   * it.
   */
  void rewrite(final List<LogRecord.Content> content, final Runnable synced) {
    // Waiting records are part of the new content already; only their callbacks are still owed.
    final List<PendingRecord> covered = waiting;
    waiting = new ArrayList<>();
    newContent = content;
    waiting.add(
        new PendingRecord(
            -1,
            null,
            () -> {
              covered.forEach(piece -> piece.synced.run());
              synced.run();
            }));
    if (!busy) {
      next();
    }
  }

  private void next() {
    busy = true;
    final List<PendingRecord> batch = waiting;
    final List<LogRecord.Content> content = newContent;
    waiting = new ArrayList<>();
    newContent = null;
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    if (content != null) {
      content.forEach(piece -> bytes.writeBytes(LogRecord.wrapBody(piece.kind(), piece.body(), 0)));
    }
    final long syncedTo = content != null ? 0 : length;
    for (final PendingRecord piece : batch) {
      if (piece.kind >= 0) {
        bytes.writeBytes(LogRecord.wrapBody(piece.kind, piece.body, syncedTo));
      }
    }
    length = (content != null ? 0 : length) + bytes.size();
    executor.work(
        () -> {
          if (content != null) {
            disk.replace(name, bytes.toByteArray());
          } else {
            disk.append(name, bytes.toByteArray());
            disk.sync(name);
          }
        },
        () -> {
          busy = false;
          // The next group starts before the callbacks, so that the disk is never idle while work
          // waits.
          if (!waiting.isEmpty()) {
            next();
          }
          batch.forEach(piece -> piece.synced.run());
        });
  }
}
