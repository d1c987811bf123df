package yewjunction.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static yewjunction.common.ErrorCode.FILTER_INVALID;
import static yewjunction.common.ErrorCode.FILTER_TOO_LARGE;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yewjunction.common.YewjunctionException;

/** Patterns of filters against a plain comparison, and those that are refused. */
class FilterTest {
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "repo-17|repo-17 changed|true",
        "repo-17|repo-171 changed|false",
        "repo-17|repo-1 changed|false",
        "order-2*|order-2 ready|true",
        "order-2*|order-25 ready|true",
        "order-2*|order-3 ready|false",
        "*|anything at all|true",
        "a,b*,c|bee|true",
        "a,b*,c|a|true",
        "a,b*,c|ab c|false",
        "b,bb*,b*|bbb x|true",
        "x|' x leading space'|false",
      })
  void theKeyIsTheFirstWordAndPatternsAreKeysOrBeginnings(
      final String filter, final String body, final boolean wanted) {
    assertEquals(wanted, Filter.parse(filter).matches(CommandParser.ascii(body)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"a,,b", "a,", ",", "a*b", "**", "a*,*b"})
  void aBadPatternIsToldApart(final String filter) {
    assertEquals(
        FILTER_INVALID,
        assertThrows(YewjunctionException.class, () -> Filter.parse(filter)).code());
  }

  @Test
  void aFilterIsBounded() {
    final String many = String.join(",", java.util.Collections.nCopies(64, "k"));
    Filter.parse(many);
    assertEquals(
        FILTER_TOO_LARGE,
        assertThrows(YewjunctionException.class, () -> Filter.parse(many + ",k")).code());
    Filter.parse("k".repeat(1_024));
    assertEquals(
        FILTER_TOO_LARGE,
        assertThrows(YewjunctionException.class, () -> Filter.parse("k".repeat(1_025))).code());
  }

  /**
   * Against a reference that tries each pattern, over keys and patterns that share many beginnings.
   */
  @Test
  void itAgreesWithTryingEachPattern() {
    final Random random = new Random(5);
    for (int round = 0; round < 20_000; round++) {
      final List<String> patterns = new ArrayList<>();
      for (int left = 1 + random.nextInt(12); left > 0; left--) {
        final String word = word(random);
        patterns.add(word.isEmpty() || random.nextBoolean() ? word + "*" : word);
      }
      final String key = word(random);
      final boolean wanted =
          patterns.stream()
              .anyMatch(
                  pattern ->
                      pattern.endsWith("*")
                          ? key.startsWith(pattern.substring(0, pattern.length() - 1))
                          : key.equals(pattern));
      assertEquals(
          wanted,
          Filter.parse(String.join(",", patterns))
              .matches(CommandParser.ascii(key + " rest of the body")),
          key + " by " + patterns);
    }
  }

  private static String word(final Random random) {
    final StringBuilder word = new StringBuilder();
    for (int left = random.nextInt(5); left > 0; left--) {
      word.append("abc".charAt(random.nextInt(3)));
    }
    return word.toString();
  }
}
