package yewjunction.subscription;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import yewjunction.common.GoldenBytes;

/** States of replicas and their digests are read as release 0.1.0 wrote them. */
class SubscriptionWireFormatTest {
  static Map<Long, ReplicaState> panels() {
    final Map<Long, ReplicaState> states = new LinkedHashMap<>();
    final ReplicaState first = new ReplicaState();
    first.observe(300);
    first.set("topic.a", "client-1", 5);
    first.set("topic.a", "client-2", 200);
    first.setDisconnected(7, Set.of("client-2"));
    states.put(3L, first);
    final ReplicaState second = new ReplicaState();
    second.observe(1);
    second.set("topic.b", "client-1", 1);
    states.put(70_000L, second);
    return states;
  }

  @Test
  void digestsKeepTheirBytes() {
    final Map<Long, Long> digests = new LinkedHashMap<>();
    digests.put(3L, 0x0102030405060708L);
    digests.put(70_000L, -1L);
    GoldenBytes.assertUnchanged(
        "digests.txt", Map.of("digests", ReplicaStateCodec.encodeDigests(digests)));
  }

  /**
   * The deflated bytes may differ between releases of the JDK, so what is compared is what they
   * hold.
   */
  @Test
  void statesAreReadAsTheyWereWritten() {
    final Map<Long, ReplicaState> read =
        ReplicaStateCodec.decode(GoldenBytes.recorded("states.txt", "states"));
    final Map<Long, ReplicaState> expected = panels();
    assertEquals(expected.keySet(), read.keySet());
    expected.forEach(
        (replica, replicaState) -> {
          assertEquals(replicaState.observed, read.get(replica).observed);
          assertEquals(replicaState.instances, read.get(replica).instances);
          assertEquals(replicaState.disconnectedVersion, read.get(replica).disconnectedVersion);
          assertEquals(replicaState.disconnected, read.get(replica).disconnected);
          assertEquals(replicaState.digest(), read.get(replica).digest());
        });
    assertEquals(
        expected.keySet(), ReplicaStateCodec.decode(ReplicaStateCodec.encode(expected)).keySet());
  }
}
