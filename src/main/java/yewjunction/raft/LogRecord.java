package yewjunction.raft;

import static java.nio.ByteOrder.BIG_ENDIAN;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * A flyweight over one record of a file: 4 bytes length of the body, 4 bytes CRC-32C of all that
 * follows, 8 bytes length to which the file was synced when the record was written, 1 byte kind,
 * body. All numbers are big-endian.
 *
 * <p>A record that is not valid ends the file: it is a torn tail, unless a later valid record says
 * that this place had been synced, in which case the file is damaged.
 */
final class LogRecord {
  static final int HEADER_BYTES = 4 + 4 + 8 + 1;
  private static final int MAX_BODY_BYTES = 64 << 20;
  private final UnsafeBuffer buffer = new UnsafeBuffer(0, 0);
  private int offset;

  /**
   * The valid records of a file, the length of that part, and whether synced records lie behind it.
   */
  record ScanResult(List<Content> records, int validBytes, boolean damaged) {}

  /** Kind and body of a record. */
  record Content(int kind, byte[] body) {}

  static byte[] encode(final int kind, final byte[] body, final long syncedTo) {
    final byte[] whole = new byte[HEADER_BYTES + body.length];
    final UnsafeBuffer out = new UnsafeBuffer(whole);
    out.putInt(0, body.length, BIG_ENDIAN);
    out.putLong(8, syncedTo, BIG_ENDIAN);
    out.putByte(16, (byte) kind);
    out.putBytes(HEADER_BYTES, body);
    out.putInt(4, checksum(whole, 8, whole.length - 8), BIG_ENDIAN);
    return whole;
  }

  private static int checksum(final byte[] bytes, final int offset, final int length) {
    final CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }

  private LogRecord wrap(final byte[] bytes, final int newOffset) {
    buffer.wrap(bytes);
    offset = newOffset;
    return this;
  }

  private int length() {
    return buffer.getInt(offset, BIG_ENDIAN);
  }

  private boolean isValid(final byte[] bytes) {
    if (offset + HEADER_BYTES > bytes.length) {
      return false;
    }
    final int length = length();
    return length >= 0
        && length <= MAX_BODY_BYTES
        && offset + HEADER_BYTES + length <= bytes.length
        && buffer.getInt(offset + 4, BIG_ENDIAN)
            == checksum(bytes, offset + 8, HEADER_BYTES - 8 + length);
  }

  static ScanResult scan(final byte[] bytes) {
    final LogRecord record = new LogRecord();
    final List<Content> pieces = new ArrayList<>();
    int at = 0;
    while (at < bytes.length && record.wrap(bytes, at).isValid(bytes)) {
      final byte[] body = new byte[record.length()];
      System.arraycopy(bytes, at + HEADER_BYTES, body, 0, body.length);
      pieces.add(new Content(bytes[at + 16], body));
      at += HEADER_BYTES + body.length;
    }
    // An invalid record is a torn tail, unless a later valid one says that this place had been
    // synced.
    boolean damaged = false;
    for (int later = at + 1; later < bytes.length && !damaged; later++) {
      damaged =
          record.wrap(bytes, later).isValid(bytes)
              && record.buffer.getLong(later + 8, BIG_ENDIAN) > at;
    }
    return new ScanResult(pieces, at, damaged);
  }
}
