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
        network.runUntil(
            () -> {
              if (leader() != null && !RaftNode.addressOf(leader().identity()).equals(address)) {
                leader().reconfiguration().transferLeadership(() -> {});
              }
              return leader() != null && RaftNode.addressOf(leader().identity()).equals(address);
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
    network.loss = 0;
    final RaftNode first = lead("a:1");
    network.host("a:1").messageFilter =
        message -> {
          if (message instanceof AppendEntriesResponse response) {
            answers.add(response);
          }
        };
    List.of("b:1", "c:1")
        .forEach(
            address ->
                network.host(address).messageFilter =
                    message -> {
                      if (message instanceof AppendEntriesRequest request && request.round > 0) {
                        appends.put(address, request);
                      }
                    });
    network.runFor(1_000);
    network.host("a:1").messageFilter = message -> {};
    List.of("b:1", "c:1").forEach(address -> network.host(address).messageFilter = message -> {});
    assertTrue(answers.size() > 5 && appends.size() == 2);
    lead("b:1");
    assertEquals(first, lead("a:1"));
    network.runFor(1_000);
    assertNotEquals(answers.get(0).term, first.currentTerm());
    return first;
  }

  private void late(final RaftNode leader, final String from, final long round) {
    final AppendEntriesResponse response = new AppendEntriesResponse();
    response.from = members.get(from).identity();
    response.term = leader.currentTerm();
    response.accepted = true;
    response.round = round;
    leader.leaderState().onAppendEntriesResponse(response);
  }

  /**
   * Asks, and lets in only late answers to appends, as many as there were: what then is said of the
   * lead.
   */
  private List<Boolean> saidAfterLateAnswers(final RaftNode leader, final long ahead) {
    final List<Boolean> said = new ArrayList<>();
    network.cut("a:1", "b:1");
    network.cut("a:1", "c:1");
    leader.confirmLeadership(said::add);
    for (final AppendEntriesResponse response : answers) {
      late(leader, RaftNode.addressOf(response.from), response.round + ahead);
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
    network.host("a:1").messageFilter =
        message -> {
          if (message instanceof AppendEntriesResponse response) {
            told.add(response);
          }
        };
    final AppendEntriesRequest old = appends.get("c:1");
    old.from = leader.identity();
    old.to = 0;
    members
        .get("c:1")
        .followerState()
        .onAppendEntries(members.get("c:1").transport().connect("a:1"), old);
    network.runFor(50);
    final List<AppendEntriesResponse> refusals =
        told.stream().filter(response -> !response.accepted).toList();
    assertFalse(refusals.isEmpty());
    refusals.forEach(
        response -> {
          assertEquals(leader.currentTerm(), response.term);
          assertEquals(0, response.round);
        });
  }
}
