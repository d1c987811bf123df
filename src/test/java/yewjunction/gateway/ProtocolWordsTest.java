package yewjunction.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Clients know the words of the protocol: none changes. */
class ProtocolWordsTest {
  private static Set<String> names(final Enum<?>[] values) {
    return Arrays.stream(values).map(Enum::name).collect(Collectors.toSet());
  }

  @Test
  void commandsAreThoseOfTheProtocol() {
    assertEquals(
        Set.of("HELLO", "SUB", "UNSUB", "PUB", "WHO", "PING"), names(ClientCommand.values()));
  }

  @Test
  void reasonsOfRefusalsAreThoseOfTheProtocol() {
    assertEquals(
        Set.of("BADMSG", "TOOBIG", "RETRY", "UNKNOWN", "DENIED", "NOSPACE", "EXPIRED"),
        names(RefuseReason.values()));
  }
}
