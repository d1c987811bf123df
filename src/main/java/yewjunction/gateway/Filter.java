package yewjunction.gateway;

import static yewjunction.common.ErrorCode.FILTER_INVALID;
import static yewjunction.common.ErrorCode.FILTER_TOO_LARGE;
import static yewjunction.limits.ClientLimits.MAX_FILTER_BYTES;
import static yewjunction.limits.ClientLimits.MAX_FILTER_PATTERNS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Which of a topic's messages one subscriber wants, judged by the key: the body's first word. A
 * flyweight over bodies: nothing is copied, and the work is two binary searches however many
 * patterns there are.
 */
final class Filter {
  /** Whole keys, sorted. */
  private final byte[][] exact;

  /**
   * Prefixes, sorted, none the beginning of another: then only the nearest one at or before a key
   * can be a prefix of it.
   */
  private final byte[][] prefixes;

  /** The filter as the client wrote it; answers repeat it. */
  final String text;

  private Filter(final String text, final byte[][] exact, final byte[][] beginnings) {
    this.text = text;
    this.exact = exact;
    this.prefixes = beginnings;
  }

  /**
   * Parses patterns with commas between them: a key, the beginning of a key and '*', or '*' alone
   * for all.
   *
   * @throws FilterException when a pattern is malformed or there are too many
   */
  static Filter parse(final String text) {
    final String[] patterns = text.split(",", -1);
    if (text.length() > MAX_FILTER_BYTES || patterns.length > MAX_FILTER_PATTERNS) {
      throw new FilterException(
          FILTER_TOO_LARGE,
          "at most " + MAX_FILTER_PATTERNS + " patterns and " + MAX_FILTER_BYTES + " bytes");
    }
    final List<byte[]> exact = new ArrayList<>();
    final List<byte[]> beginnings = new ArrayList<>();
    for (final String pattern : patterns) {
      final int star = pattern.indexOf('*');
      if (pattern.isEmpty() || star >= 0 && star < pattern.length() - 1) {
        throw new FilterException(
            FILTER_INVALID, "a pattern is a key, or its beginning and one * at the end");
      }
      if (star < 0) {
        exact.add(CommandParser.ascii(pattern));
      } else {
        beginnings.add(CommandParser.ascii(pattern.substring(0, star)));
      }
    }
    return new Filter(text, sorted(exact), withoutCoveredPrefixes(sorted(beginnings)));
  }

  private static byte[][] sorted(final List<byte[]> keys) {
    keys.sort(Arrays::compareUnsigned);
    return keys.toArray(new byte[0][]);
  }

  private static byte[][] withoutCoveredPrefixes(final byte[][] sorted) {
    final List<byte[]> kept = new ArrayList<>();
    for (final byte[] one : sorted) {
      final byte[] last = kept.isEmpty() ? null : kept.get(kept.size() - 1);
      if (last == null || !startsWith(last, one, one.length)) {
        kept.add(one);
      }
    }
    return kept.toArray(new byte[0][]);
  }

  private static boolean startsWith(
      final byte[] beginning, final byte[] body, final int keyLength) {
    return beginning.length <= keyLength
        && Arrays.equals(beginning, 0, beginning.length, body, 0, beginning.length);
  }

  private static int keyLength(final byte[] body) {
    int length = 0;
    // No pattern is longer: of the rest it matters only that the key continues.
    while (length < body.length && body[length] != ' ' && length <= MAX_FILTER_BYTES) {
      length++;
    }
    return length;
  }

  boolean matches(final byte[] body) {
    final int keyLength = keyLength(body);
    final int place = floor(exact, body, keyLength);
    if (place >= 0
        && exact[place].length == keyLength
        && startsWith(exact[place], body, keyLength)) {
      return true;
    }
    final int before = floor(prefixes, body, keyLength);
    return before >= 0 && startsWith(prefixes[before], body, keyLength);
  }

  /** The place of the last one that is not after the key, -1 for none. */
  private static int floor(final byte[][] sorted, final byte[] body, final int keyLength) {
    int low = 0;
    int high = sorted.length - 1;
    while (low <= high) {
      final int middle = (low + high) >>> 1;
      if (Arrays.compareUnsigned(sorted[middle], 0, sorted[middle].length, body, 0, keyLength)
          <= 0) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    return high;
  }
}
