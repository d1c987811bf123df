package yewjunction.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Client commands in pieces of any size, well formed and malformed. */
class CommandParserTest {
  private static byte[] bytes(final String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  @Test
  void messagesAreReadFromPiecesOfAnySize() {
    final String stream =
        "HELLO c k\r\nSUB t.1 17\r\nPUB t.1 4 20\r\nabcdefghijklmnopqrst\r\nPING\r\nWHO -\r\n";
    final List<String> expected = List.of("HELLO", "SUB", "PUB", "PING", "WHO");
    final Random random = new Random(3);
    for (int attempt = 0; attempt < 300; attempt++) {
      final List<String> read = new ArrayList<>();
      byte[] unread = new byte[0];
      int sent = 0;
      while (sent < stream.length()) {
        final int next = Math.min(stream.length(), sent + 1 + random.nextInt(30));
        final byte[] all =
            bytes(new String(unread, StandardCharsets.ISO_8859_1) + stream.substring(sent, next));
        sent = next;
        int at = 0;
        final CommandParser parser = new CommandParser();
        while (at < all.length
            && parser.wrap(all, at, all.length) == CommandParser.Result.COMPLETE) {
          read.add(parser.text(0));
          if (parser.command() == ClientCommand.PUB) {
            assertEquals(
                "abcdefghijklmnopqrst", new String(parser.bodyBytes(), StandardCharsets.US_ASCII));
            assertEquals(4, parser.number(2));
          }
          at = parser.end();
        }
        unread = Arrays.copyOfRange(all, at, all.length);
      }
      assertEquals(expected, read);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "PUB t 1 20|INCOMPLETE",
        "PUB t 1 19~abcdefghijklmnopqrs~|INVALID",
        "PUB t 1 20~abcdefghijklmnopqrstu~|UNRECOVERABLE",
        "PUB t 1 x~|UNRECOVERABLE",
        "PUB t x 20~abcdefghijklmnopqrst~|INVALID",
        "PUB t 1 99999999~|TOO_BIG",
        "PUB~|UNRECOVERABLE",
        "SUB\u0001 t~|UNRECOVERABLE",
        "~|COMPLETE",
        "A B C D E F G~|UNRECOVERABLE",
      })
  void whatIsWrongIsTold(final String text, final CommandParser.Result state) {
    final byte[] bytes = bytes(text.replace("~", "\r\n"));
    assertEquals(state, new CommandParser().wrap(bytes, 0, bytes.length));
  }

  @Test
  void aBareLineEndLosesTheStreamAndABodyOverTheLimitIsTooBig() {
    assertEquals(
        CommandParser.Result.UNRECOVERABLE, new CommandParser().wrap(bytes("PING\n"), 0, 5));
    final byte[] large = bytes("PUB t 1 16385\r\n" + "x".repeat(16_385) + "\r\n");
    final CommandParser parser = new CommandParser();
    assertEquals(CommandParser.Result.TOO_BIG, parser.wrap(large, 0, large.length));
    assertEquals(large.length, parser.end());
    assertEquals(
        CommandParser.Result.UNRECOVERABLE,
        new CommandParser().wrap(bytes("X".repeat(5_000)), 0, 5_000));
  }

  @Test
  void noBytesBreakTheReader() {
    final Random random = new Random(5);
    final String[] pieces = {
      "PUB ",
      "SUB ",
      "t ",
      "20",
      "-1",
      "\r\n",
      "\n",
      "\0",
      "\u00ff",
      " ",
      "-",
      "9999999999999999999"
    };
    for (int attempt = 0; attempt < 20_000; attempt++) {
      final StringBuilder text = new StringBuilder();
      for (int i = random.nextInt(9); i >= 0; i--) {
        text.append(pieces[random.nextInt(pieces.length)]);
      }
      final byte[] bytes = bytes(text.toString());
      final CommandParser parser = new CommandParser();
      final CommandParser.Result state = parser.wrap(bytes, 0, bytes.length);
      assertTrue(
          state == CommandParser.Result.INCOMPLETE
              || state == CommandParser.Result.UNRECOVERABLE
              || state == CommandParser.Result.TOO_BIG
              || parser.end() > 0 && parser.end() <= bytes.length);
    }
  }
}
