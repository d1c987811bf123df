package yewjunction.raft;

import java.util.Random;

/**
 * Long random schedules, each with its own leaning. Stretches in which anything may happen take
 * turns with calm ones, in which messages arrive and a leader's clock runs, or nobody would ever
 * get as far as a change of voters; over both, somebody may be cut off.
 */
final class ModelWalks {
  /** By kind of step, in thousandths of a plain message. */
  private static final int[] WEIGHTS = {
    250, 800, 1_000, 1_000, 15, 25, 300, 40, 12, 150, 40, 10, 0, 8
  };

  private final ModelSetup setup;
  private final ModelFault fault;
  private final int length;
  private long steps;
  private long terms;
  private long acknowledged;
  private long voterChanges;
  private long wipes;

  ModelWalks(final ModelSetup setup, final ModelFault fault, final int length) {
    this.setup = setup;
    this.fault = fault;
    this.length = length;
  }

  /**
   * What the walks came by, before all was healed: steps, terms with a leader, acknowledgements,
   * voter changes, lost disks.
   */
  long[] reached() {
    return new long[] {steps, terms, acknowledged, voterChanges, wipes};
  }

  private void count(final ModelWorld world) {
    terms += world.monitor.leaders.size();
    acknowledged += world.monitor.acknowledgements();
    voterChanges +=
        world.monitor.history.values().stream()
            .filter(one -> one.kind() == LogEntry.VOTERS)
            .count();
    wipes += world.hosts.stream().mapToInt(host -> host.wipes).sum();
  }

  /** What the walk of that seed breaks; null for nothing. */
  ModelFinding walk(final long seed) {
    final Random random = new Random((seed + setup.name().hashCode()) * 0x9E3779B97F4A7C15L);
    final int[] weights = WEIGHTS.clone();
    for (int kind = 0; kind < weights.length; kind++) {
      weights[kind] *= new int[] {1, 4, 16}[random.nextInt(3)];
    }
    final StringBuilder schedule = new StringBuilder();
    boolean afterwards = false;
    try {
      final ModelWorld world = new ModelWorld(setup, fault);
      world.budget = ModelBudget.plenty();
      int away = -1;
      boolean calm = false;
      for (int at = 0; at < length; at++) {
        if (random.nextInt(40) == 0) {
          // For a stretch nothing reaches or leaves one of them.
          away = random.nextInt(3 * world.hosts.size());
        }
        calm ^= random.nextInt(calm ? 60 : 20) == 0;
        final char step =
            choose(world.enabled(), calm ? calmly(world, random) : weights, away, random);
        schedule.append(step);
        steps++;
        world.apply(step);
      }
      count(world);
      afterwards = true;
      world.goesOn();
      return null;
    } catch (final ModelViolation violation) {
      return new ModelFinding(
          setup, fault, schedule.toString(), afterwards, violation.getMessage());
    }
  }

  /** Messages and disks first; then a clock, mostly that of whoever leads. */
  private static int[] calmly(final ModelWorld world, final Random random) {
    final int[] weights = new int[WEIGHTS.length];
    final boolean idle =
        world.connections.stream()
            .allMatch(
                connection ->
                    connection.acceptor.inbound.isEmpty()
                        && connection.initiator.inbound.isEmpty());
    weights[ModelStep.DISK] = 100;
    weights[ModelStep.DELIVER] = 100;
    weights[ModelStep.REPLY] = 100;
    weights[ModelStep.TIMER] = idle ? 50 : 1 + random.nextInt(4);
    weights[ModelStep.BOOT] = 10;
    weights[ModelStep.PROPOSE] = 10;
    return weights;
  }

  private static char choose(
      final String enabled, final int[] weights, final int away, final Random random) {
    final int[] sums = new int[enabled.length()];
    int sum = 0;
    for (int at = 0; at < sums.length; at++) {
      final char step = enabled.charAt(at);
      final int kind = ModelStep.kind(step);
      final boolean confirmed =
          (kind == ModelStep.DELIVER || kind == ModelStep.REPLY)
              && (ModelStep.member(step) == away || ModelStep.other(step) == away);
      sum +=
          confirmed
              ? 0
              : weights[kind] / (kind == ModelStep.CRASH && ModelStep.which(step) > 0 ? 3 : 1);
      sums[at] = sum;
    }
    final int drawn = random.nextInt(Math.max(1, sum));
    for (int at = 0; at < sums.length; at++) {
      if (drawn < sums[at]) {
        return enabled.charAt(at);
      }
    }
    return enabled.charAt(random.nextInt(enabled.length()));
  }
}
