package yewjunction.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.membership.MembershipMessages.Ack;
import yewjunction.membership.MembershipMessages.MembershipMessage;
import yewjunction.membership.MembershipMessages.Ping;
import yewjunction.membership.MembershipMessages.PingRequest;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;

/** A dead peer is missed, whatever answers to other questions still come in. */
class LateResponsesTest {
  private static final String ASKER = "a1:7";
  private static final String DEAD = "a2:7";
  private static final String OTHER = "a3:7";
  private final List<Ping> probes = new ArrayList<>();
  private final List<PingRequest> detours = new ArrayList<>();
  private SimulatedNetwork network;
  private MembershipList membership;
  private long lives;

  private static Member peer(final String address) {
    final Member member = new Member();
    member.life = 1;
    member.address = address;
    member.zone = "zone";
    member.role = NodeRole.STORE.wireName();
    return member;
  }

  private static <T extends MembershipMessage> T by(final String address, final T message) {
    message.sender = peer(address);
    return message;
  }

  private static Ack echo(final String address, final long number) {
    final Ack ack = by(address, new Ack());
    ack.requestId = number;
    return ack;
  }

  /** A life of the asker, which has just heard from the others. */
  private void boot(final boolean drawn, final String... others) {
    final SimulatedHost host = network.host(ASKER);
    host.boot();
    final Member self = peer(ASKER);
    self.life = drawn ? ++lives : 1;
    probes.clear();
    detours.clear();
    membership =
        new MembershipList(
            host,
            self,
            (address, message) -> {
              if (message instanceof Ping ping && address.equals(DEAD)) {
                probes.add(ping);
              } else if (message instanceof Ping ping) {
                network.after(
                    5, () -> membership.onMessage(address, echo(address, ping.requestId)));
              } else if (message instanceof PingRequest pingRequest) {
                detours.add(pingRequest);
              }
            });
    membership.start(List.of());
    for (final String other : others) {
      membership.onMessage(other, by(other, new Ack()));
    }
  }

  private boolean missed() {
    return membership.memberAt(DEAD) == null || !membership.memberAt(DEAD).isUp();
  }

  /**
   * The first life's pings are answered late, all of them and again and again, while the second one
   * pings.
   */
  private boolean missedInTheSecondLife(final long seed, final boolean drawn) {
    network = new SimulatedNetwork(seed);
    boot(drawn, DEAD);
    network.every(
        1,
        () ->
            List.copyOf(probes)
                .forEach(ping -> membership.onMessage(DEAD, echo(DEAD, ping.requestId))));
    network.runFor(20_000);
    assertTrue(probes.size() > 15 && !missed(), probes.size() + " probes");
    final List<Long> firstLife = probes.stream().map(ping -> ping.requestId).toList();
    network.host(ASKER).kill();
    final SimulatedNetwork second = new SimulatedNetwork(seed + 1_000);
    network = second;
    boot(drawn, DEAD);
    second.every(
        100, () -> firstLife.forEach(number -> membership.onMessage(DEAD, echo(DEAD, number))));
    second.runFor(10_000);
    return missed();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void answersToAnEarlierLifeHideNoLoss(final long seed) {
    assertTrue(missedInTheSecondLife(seed, true));
  }

  /** The fault planted: each life draws the same, and so numbers alike. */
  @Test
  void withNumbersThatBeginAlikeTheLossIsHidden() {
    assertFalse(missedInTheSecondLife(1, false));
  }

  /** All that the dead peer is asked another one answers in time, under that name. */
  private boolean missedWhileAnotherAnswers(final long seed, final String name) {
    network = new SimulatedNetwork(seed);
    boot(true, DEAD, OTHER);
    network.every(
        20,
        () -> {
          probes.forEach(ping -> membership.onMessage(OTHER, echo(name, ping.requestId)));
        });
    network.runFor(20_000);
    return missed();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void anAnswerOfAnotherPeerHidesNoLoss(final long seed) {
    assertTrue(missedWhileAnotherAnswers(seed, OTHER));
  }

  /** The fault planted: the answer is taken for the dead peer's own. */
  @Test
  void aResponseThatNamesTheDeadMemberDoesHideIt() {
    assertFalse(missedWhileAnotherAnswers(1, DEAD));
  }

  @Test
  void aSecondOpinionCountsOnlyFromWhomItWasAsked() {
    network = new SimulatedNetwork(7);
    boot(true, DEAD, OTHER);
    network.every(
        20,
        () ->
            detours.forEach(
                pingRequest -> membership.onMessage(OTHER, echo(OTHER, pingRequest.requestId))));
    network.runFor(15_000);
    assertFalse(missed());
    assertTrue(detours.size() > 3, detours.size() + " detours");
    assertEquals(
        detours.size(),
        detours.stream().map(pingRequest -> pingRequest.requestId).distinct().count());
  }
}
