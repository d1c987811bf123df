package yewjunction.transport;

import static java.nio.ByteOrder.BIG_ENDIAN;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.agrona.ExpandableArrayBuffer;

/** Bytes that wait to be written; grows as needed, shrinks when empty. */
public final class WriteBuffer {
  /** How many written bytes in front of the others justify moving those. */
  private static final int COMPACT_BYTES = 64 << 10;

  private final int firstBytes;
  private ExpandableArrayBuffer buffer;
  private int start;
  private int end;

  /** An empty buffer; it grows as needed. */
  public WriteBuffer(final int firstBytes) {
    this.firstBytes = firstBytes;
  }

  private ExpandableArrayBuffer buffer() {
    if (buffer == null) {
      buffer = new ExpandableArrayBuffer(firstBytes);
    }
    return buffer;
  }

  void putInt(final int value) {
    buffer().putInt(end, value, BIG_ENDIAN);
    end += 4;
  }

  /** Appends a part of an array. */
  public void put(final byte[] bytes, final int offset, final int length) {
    buffer().putBytes(end, bytes, offset, length);
    end += length;
  }

  /** Appends text, one byte a character. */
  public void putAscii(final String text) {
    end += buffer().putStringWithoutLengthAscii(end, text);
  }

  /** Appends a number in decimal digits. */
  public void putNumber(final long value) {
    end += buffer().putLongAscii(end, value);
  }

  /** Bytes that are waiting to be written. */
  public int size() {
    return end - start;
  }

  /** Takes all that waits, for connections that are no sockets. */
  public byte[] take() {
    final byte[] taken = new byte[size()];
    if (taken.length > 0) {
      buffer.getBytes(start, taken);
    }
    start = 0;
    end = 0;
    return taken;
  }

  /** Writes as much as the channel takes; returns whether all is written. */
  public boolean write(final SocketChannel channel) throws IOException {
    if (size() > 0) {
      start += channel.write(ByteBuffer.wrap(buffer.byteArray(), start, end - start));
    }
    if (start < end) {
      // A reader that never quite catches up: what it has read is dropped from the buffer.
      if (start > COMPACT_BYTES && start > size()) {
        buffer.putBytes(0, buffer, start, size());
        end -= start;
        start = 0;
      }
      return false;
    }
    start = 0;
    end = 0;
    // An idle connection holds no buffer: there are many of them.
    if (buffer != null && buffer.capacity() > 2 * firstBytes) {
      buffer = null;
    }
    return true;
  }
}
