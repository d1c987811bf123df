package yewjunction.common;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The comparison of bytes sees what it is there to see. */
class GoldenBytesTest {
  /** Two fields of one type. */
  static final class Original {
    long first = 5;
    long second = 6;
  }

  /** The same two fields in the other order. */
  static final class WithFieldsSwapped {
    long second = 6;
    long first = 5;
  }

  @Test
  void swappedFieldsOfOneTypeChangeTheBytes() {
    final byte[] original = new MessageCodec().register(1, Original.class).encode(new Original());
    final byte[] swapped =
        new MessageCodec().register(1, WithFieldsSwapped.class).encode(new WithFieldsSwapped());
    assertFalse(Arrays.equals(original, swapped));
  }
}
