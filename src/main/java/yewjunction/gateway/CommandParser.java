package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.MAX_BODY_BYTES;
import static yewjunction.limits.ClientLimits.MAX_COMMAND_LINE_BYTES;
import static yewjunction.limits.ClientLimits.MAX_SKIPPED_BODY_BYTES;
import static yewjunction.limits.ClientLimits.MIN_BODY_BYTES;

import java.nio.charset.StandardCharsets;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * A flyweight parser of client commands over a receive buffer: pieces of any size, several commands
 * in one read. It copies nothing but a complete body.
 */
final class CommandParser {
  /** What was found at an offset. */
  enum Result {
    /** A part of a command: more has to be received. */
    INCOMPLETE,
    /** A whole command. */
    COMPLETE,
    /** A whole command that is not valid: it is refused, and the stream continues. */
    INVALID,
    /** A command with a body that is too large. */
    TOO_BIG,
    /** The stream can no longer be read. */
    UNRECOVERABLE
  }

  private static final ClientCommand[] COMMANDS = ClientCommand.values();

  private static final int MAX_WORDS = 6;

  private final UnsafeBuffer buffer = new UnsafeBuffer(0, 0);
  private final int[] starts = new int[MAX_WORDS];
  private final int[] ends = new int[MAX_WORDS];
  private ClientCommand command;
  private int count;
  private int end;
  private int bodyStart;
  private int bodyLength;

  /** Reads the command that begins at an offset; {@link #end} says where the next one begins. */
  Result wrap(final byte[] bytes, final int offset, final int length) {
    buffer.wrap(bytes, 0, length);
    command = null;
    count = 0;
    bodyLength = -1;
    int at = offset;
    while (at < length && buffer.getByte(at) != '\n') {
      if (at - offset > MAX_COMMAND_LINE_BYTES) {
        return Result.UNRECOVERABLE;
      }
      at++;
    }
    if (at >= length) {
      return Result.INCOMPLETE;
    }
    end = at + 1;
    // A line that does not end with CRLF: the two sides no longer agree where commands begin.
    if (at == offset || buffer.getByte(at - 1) != '\r' || !split(offset, at - 1)) {
      return Result.UNRECOVERABLE;
    }
    command = findCommand();
    return command == ClientCommand.PUB ? body(length) : Result.COMPLETE;
  }

  private ClientCommand findCommand() {
    for (final ClientCommand one : COMMANDS) {
      if (is(one.name())) {
        return one;
      }
    }
    return null;
  }

  private boolean split(final int from, final int to) {
    int start = from;
    for (int at = from; at <= to; at++) {
      final byte one = at == to ? (byte) ' ' : buffer.getByte(at);
      if (one < ' ' || one > '~') {
        return false;
      }
      if (one == ' ') {
        if (count == MAX_WORDS) {
          return false;
        }
        starts[count] = start;
        ends[count++] = at;
        start = at + 1;
      }
    }
    return true;
  }

  private Result body(final int length) {
    final long announced = count < 2 ? -1 : number(count - 1);
    if (announced < 0 || announced > MAX_SKIPPED_BODY_BYTES) {
      return announced > MAX_SKIPPED_BODY_BYTES ? Result.TOO_BIG : Result.UNRECOVERABLE;
    }
    if (end + announced + 2 > length) {
      return Result.INCOMPLETE;
    }
    bodyStart = end;
    bodyLength = (int) announced;
    end += bodyLength + 2;
    if (buffer.getByte(end - 2) != '\r' || buffer.getByte(end - 1) != '\n') {
      return Result.UNRECOVERABLE;
    }
    if (bodyLength > MAX_BODY_BYTES) {
      return Result.TOO_BIG;
    }
    if (count != 4 || bodyLength < MIN_BODY_BYTES || number(2) < 0) {
      return Result.INVALID;
    }
    for (int at = bodyStart; at < bodyStart + bodyLength; at++) {
      if (buffer.getByte(at) < ' ' || buffer.getByte(at) > '~') {
        return Result.INVALID;
      }
    }
    return Result.COMPLETE;
  }

  /** True when the body that was announced cannot be skipped. */
  boolean bodyUnread() {
    return bodyLength < 0;
  }

  /** Where the next command begins. */
  int end() {
    return end;
  }

  /** The command, null when its first word is none. */
  ClientCommand command() {
    return command;
  }

  private boolean is(final String word) {
    if (count == 0 || ends[0] - starts[0] != word.length()) {
      return false;
    }
    for (int i = 0; i < word.length(); i++) {
      if (buffer.getByte(starts[0] + i) != word.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** A field as text, empty when it is absent or '-'. */
  String text(final int place) {
    if (place >= count) {
      return "";
    }
    final String text =
        buffer.getStringWithoutLengthAscii(starts[place], ends[place] - starts[place]);
    return text.equals("-") ? "" : text;
  }

  /** A field as a whole number, -1 when it is none. */
  long number(final int place) {
    final int length = place >= count ? 0 : ends[place] - starts[place];
    if (length < 1 || length > 18) {
      return -1;
    }
    long value = 0;
    for (int at = starts[place]; at < ends[place]; at++) {
      final int digit = buffer.getByte(at) - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      value = value * 10 + digit;
    }
    return value;
  }

  /** Number of words in the line. */
  int count() {
    return count;
  }

  /** A copy of the body. */
  byte[] bodyBytes() {
    final byte[] bytes = new byte[bodyLength];
    buffer.getBytes(bodyStart, bytes);
    return bytes;
  }

  static byte[] ascii(final String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
