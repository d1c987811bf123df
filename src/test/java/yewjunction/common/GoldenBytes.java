package yewjunction.common;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Compares encoded examples with the bytes that release 0.1.0 (revision 268ab92) wrote, kept in
 * {@code src/test/resources/wire-format}. Whoever changes a format on purpose copies the new file
 * from {@code target/wire-format}, where each run leaves what it encoded.
 */
public final class GoldenBytes {
  private static final HexFormat HEX = HexFormat.of();

  private GoldenBytes() {}

  /**
   * Asserts that each named example has exactly the recorded bytes, and that no recorded example is
   * missing.
   */
  public static void assertUnchanged(final String file, final Map<String, byte[]> examples) {
    final Map<String, String> actual = new LinkedHashMap<>();
    examples.forEach((name, bytes) -> actual.put(name, HEX.formatHex(bytes)));
    final StringBuilder text = new StringBuilder();
    actual.forEach((name, hex) -> text.append(name).append(' ').append(hex).append('\n'));
    try {
      Files.createDirectories(Path.of("target", "wire-format"));
      Files.writeString(Path.of("target", "wire-format", file), text.toString());
    } catch (final IOException failure) {
      throw new UncheckedIOException(failure);
    }
    assertEquals(read(file), actual);
  }

  /** The recorded bytes of one example. */
  public static byte[] recorded(final String file, final String name) {
    return HEX.parseHex(read(file).get(name));
  }

  private static Map<String, String> read(final String file) {
    final Map<String, String> recorded = new LinkedHashMap<>();
    try (InputStream in = GoldenBytes.class.getResourceAsStream("/wire-format/" + file)) {
      assertNotNull(in, "no recorded bytes in wire-format/" + file);
      new String(in.readAllBytes(), UTF_8)
          .lines()
          .forEach(
              line -> {
                final int space = line.indexOf(' ');
                recorded.put(line.substring(0, space), line.substring(space + 1));
              });
    } catch (final IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return recorded;
  }

  /** Encodes each message, and checks that decoding and encoding it again gives the same bytes. */
  public static Map<String, byte[]> encode(
      final MessageCodec codec, final Map<String, Object> messages) {
    final Map<String, byte[]> encoded = new LinkedHashMap<>();
    messages.forEach(
        (name, message) -> {
          final byte[] bytes = codec.encode(message);
          assertEquals(
              HEX.formatHex(bytes),
              HEX.formatHex(codec.encode(codec.decode(bytes, 0, bytes.length))),
              name);
          encoded.put(name, bytes);
        });
    return encoded;
  }
}
