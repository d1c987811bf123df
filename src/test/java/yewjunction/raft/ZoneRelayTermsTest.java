package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import yewjunction.raft.RaftMessages.AppendEntriesRequest;
import yewjunction.raft.RaftMessages.FetchResponse;

/**
 * A member that learns of a term by entries that were handed on takes nothing more from the leader
 * of an earlier one.
 */
class ZoneRelayTermsTest extends RaftSimulation {
  /**
   * What stands behind the end, after an entry of the next term was handed on, and then a former
   * leader's append came.
   */
  private long termAfterALateAppend(final boolean named) {
    beginWithSpares(1);
    final RaftNode spare = members.get("b:2");
    final String former = leader().identity();
    final long term = spare.currentTerm();
    final long prevIndex = spare.log().lastIndex();
    final long prevTerm = spare.log().lastTerm();
    assertNotNull(spare.leader());
    final FetchResponse handedOn = new FetchResponse();
    handedOn.term = named ? term + 1 : 0;
    handedOn.prevIndex = prevIndex;
    handedOn.prevTerm = prevTerm;
    handedOn.entries = List.of(new LogEntry(prevIndex + 1, term + 1, LogEntry.NO_OP, new byte[0]));
    spare.relay().onFetchResponse(handedOn);
    assertEquals(prevIndex + 1, spare.commitIndex());
    final AppendEntriesRequest late = new AppendEntriesRequest();
    late.from = former;
    late.term = term;
    late.prevIndex = prevIndex;
    late.prevTerm = prevTerm;
    late.entries = List.of(new LogEntry(prevIndex + 1, term, LogEntry.NO_OP, new byte[0]));
    spare.followerState().onAppendEntries(spare.transport().connect("a:1"), late);
    return spare.log().termAt(prevIndex + 1) - term;
  }

  @Test
  void aFormerLeadersLateAppendCutsNothingCommitted() {
    assertEquals(1, termAfterALateAppend(true));
  }

  /** The fault planted: the message names no term. */
  @Test
  void withoutItsTermItWouldBeCut() {
    assertThrows(IllegalStateException.class, () -> termAfterALateAppend(false));
  }

  static LongStream worlds() {
    return LongStream.rangeClosed(1, 100);
  }

  @ParameterizedTest
  @MethodSource("worlds")
  void oneHistoryUnderKillsAndCuts(final long seed) {
    beginWithSpares(seed);
    network.loss = 0.03;
    final List<String> all = List.copyOf(members.keySet());
    for (int round = 0; round < 12; round++) {
      final String victim = all.get(network.random.nextInt(all.size()));
      if (network.random.nextInt(4) < 3) {
        network.host(victim).kill();
      } else {
        all.forEach(other -> network.cut(victim, other));
      }
      network.runFor(300 + network.random.nextInt(2_500));
      network.join();
      all.stream()
          .filter(address -> !network.host(address).up())
          .forEach(address -> boot(address, false));
      network.runFor(2_500);
    }
    network.runFor(6_000);
    assertTrue(acknowledged.size() > 500, "acknowledged " + acknowledged.size());
  }
}
