package yewjunction.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * Where an exploration begins: the members, the steps that lead there, and the faults that may be
 * injected from then on. The random schedules of walks are drawn from the name too, so a setup
 * keeps its name.
 */
record ModelSetup(
    String name,
    int voters,
    int spares,
    int targetVoters,
    boolean zoned,
    String prefix,
    ModelBudget budget) {
  private static final String LED = "* t0 * p0 * t0 *";

  List<String> addresses() {
    final List<String> all = new ArrayList<>();
    for (int number = 0; number < voters + spares; number++) {
      // A spare stands in the zone of a voter.
      all.add((char) ('a' + number % voters) + ":" + (1 + number / voters));
    }
    return all;
  }

  List<String> founders() {
    return addresses().subList(0, voters).stream().map(address -> address + "#f").toList();
  }

  String zoneOf(final String address) {
    return zoned ? address.substring(0, 1) : "";
  }

  /** How many machines may be lost at once. */
  int tolerates() {
    return (targetVoters - 1) / 2;
  }

  private static ModelSetup of(
      final String name,
      final int voters,
      final int spares,
      final boolean zoned,
      final String prefix,
      final ModelBudget budget) {
    return new ModelSetup(name, voters, spares, voters, zoned, ModelStep.parse(prefix), budget);
  }

  /**
   * In the order of their numbers: timers, crashes, wipes, breaks, freezes, proposals, confirms,
   * leadership transfers.
   */
  static final List<ModelSetup> ALL =
      List.of(
          // Founded, nobody leads yet.
          of("fresh3", 3, 0, false, "*", new ModelBudget(3, 1, 0, 0, 0, 0, 0, 0)),
          // Two ask for votes proper in the same term, and the third has given the one of them its
          // vote.
          of(
              "votes3",
              3,
              0,
              false,
              "* t0 t2 d0>1 d2>1 r1>0 r1>2 s2 d2>1 s1 s1",
              new ModelBudget(0, 1, 0, 0, 0, 0, 0, 0)),
          // One leads and all are told of its first entries.
          of("led3", 3, 0, false, LED, new ModelBudget(2, 1, 0, 1, 0, 1, 0, 0)),
          of("hand3", 3, 0, false, LED, new ModelBudget(1, 1, 0, 0, 0, 1, 0, 1)),
          // A later leader was just elected, and the earlier one has not heard of it.
          of(
              "deposed3",
              3,
              0,
              false,
              LED + " t0 d0>1 f1 t2 d2>1 r1>2 s2 d2>1 s1 s1 r1>2 s2",
              new ModelBudget(1, 0, 0, 0, 0, 2, 1, 0)),
          of("wipe3", 3, 0, false, LED, new ModelBudget(1, 2, 1, 0, 0, 1, 0, 0)),
          // A wiped machine is back and known to the leader, which is about to bring it up to date.
          of(
              "back3",
              3,
              0,
              false,
              LED + " k2 w2 * t2 * t0 * t0",
              new ModelBudget(3, 1, 0, 0, 0, 1, 0, 0)),
          of("fresh5", 5, 0, false, "*", new ModelBudget(2, 1, 0, 0, 0, 0, 0, 0)),
          of("led5", 5, 0, false, LED, new ModelBudget(1, 1, 0, 0, 0, 1, 0, 0)),
          // A voter is silent and a spare is there, fed by a voter of its zone.
          of(
              "seats",
              3,
              1,
              true,
              LED + " t3 * t0 * t0 * k2 f0 t3 *",
              new ModelBudget(3, 1, 0, 0, 0, 1, 0, 0)),
          of(
              "seats5",
              5,
              1,
              true,
              LED + " t5 * t0 * t0 * k4 f0 t5 *",
              new ModelBudget(2, 1, 0, 0, 0, 1, 0, 0)));

  static ModelSetup named(final String name) {
    return ALL.stream().filter(setup -> setup.name.equals(name)).findFirst().orElseThrow();
  }
}
