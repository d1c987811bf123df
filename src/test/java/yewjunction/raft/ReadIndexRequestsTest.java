package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.raft.RaftMessages.AppendEntriesRequest;
import yewjunction.raft.RaftMessages.AppendEntriesResponse;

/**
 * Who leads is confirmed only by answers to questions of this very leadership that were asked
 * after.
 */
class ReadIndexRequestsTest extends RaftSimulation {
  private final Map<String, AppendEntriesRequest> appends = new HashMap<>();
  private final List<AppendEntriesResponse> answers = new ArrayList<>();

  private RaftNode lead(final String address) {
    assertTrue(
        world.runUntil(
            () -> {
              if (leader() != null && !RaftNode.address(leader().identity()).equals(address)) {
                leader().electorate().handOver(() -> {});
              }
              return leader() != null && RaftNode.address(leader().identity()).equals(address);
            },
            60_000),
        address + " never led");
    return leader();
  }

  /**
   * One that led, lost the lead, and leads again, in the same life; what its followers heard and
   * said is kept.
   */
  private RaftNode again(final long seed) {
    begin(seed);
    world.loss = 0;
    final RaftNode first = lead("a:1");
    world.host("a:1").tampering =
        letter -> {
          if (letter instanceof AppendEntriesResponse answer) {
            answers.add(answer);
          }
        };
    List.of("b:1", "c:1")
        .forEach(
            address ->
                world.host(address).tampering =
                    letter -> {
                      if (letter instanceof AppendEntriesRequest append && append.round > 0) {
                        appends.put(address, append);
                      }
                    });
    world.runFor(1_000);
    world.host("a:1").tampering = letter -> {};
    List.of("b:1", "c:1").forEach(address -> world.host(address).tampering = letter -> {});
    assertTrue(answers.size() > 5 && appends.size() == 2);
    lead("b:1");
    assertEquals(first, lead("a:1"));
    world.runFor(1_000);
    assertNotEquals(answers.get(0).term, first.archive.term);
    return first;
  }

  private void late(final RaftNode leader, final String from, final long round) {
    final AppendEntriesResponse answer = new AppendEntriesResponse();
    answer.from = ledgers.get(from).identity();
    answer.term = leader.archive.term;
    answer.accepted = true;
    answer.round = round;
    leader.leading.answered(answer);
  }

  /**
   * Asks, and lets in only late answers to appends, as many as there were: what then is said of the
   * lead.
   */
  private List<Boolean> saidAfterLateAnswers(final RaftNode leader, final long ahead) {
    final List<Boolean> said = new ArrayList<>();
    world.cut("a:1", "b:1");
    world.cut("a:1", "c:1");
    leader.confirm(said::add);
    for (final AppendEntriesResponse answer : answers) {
      late(leader, RaftNode.address(answer.from), answer.round + ahead);
    }
    return List.copyOf(said);
  }

  /** Rounds go on rising through all leaderships of a life. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void answersToAnEarlierLeadershipConfirmNothing(final long seed) {
    assertEquals(List.of(), saidAfterLateAnswers(again(seed), 0));
  }

  /**
   * The fault planted: the late answers' rounds lie as if rounds began anew with each leadership.
   */
  @Test
  void withRoundsThatBeginAnewTheyWouldConfirm() {
    assertEquals(List.of(true), saidAfterLateAnswers(again(1), 1_000_000));
  }

  /**
   * Nor would they if they did: who has gone on to another term repeats no round of an earlier one.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aRoundIsRepeatedInItsOwnTermOnly(final long seed) {
    final RaftNode leader = again(seed);
    final List<AppendEntriesResponse> told = new ArrayList<>();
    world.host("a:1").tampering =
        letter -> {
          if (letter instanceof AppendEntriesResponse answer) {
            told.add(answer);
          }
        };
    final AppendEntriesRequest old = appends.get("c:1");
    old.from = leader.identity();
    old.to = 0;
    ledgers.get("c:1").following.append(ledgers.get("c:1").post.dial("a:1"), old);
    world.runFor(50);
    final List<AppendEntriesResponse> refusals =
        told.stream().filter(answer -> !answer.accepted).toList();
    assertFalse(refusals.isEmpty());
    refusals.forEach(
        answer -> {
          assertEquals(leader.archive.term, answer.term);
          assertEquals(0, answer.round);
        });
  }
}
