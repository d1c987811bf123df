package yewjunction.raft;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The model check as a command: search SETUP DEPTH MINUTES, walks SETUP COUNT LENGTH FIRST_SEED, or
 * replay SETUP FAULT STEPS. A setup may be named all. docs/control/model.md has the line that runs
 * it.
 */
public final class ModelCheck {
  private static final int THREADS = 4;

  /** One state in so many is healed: that costs as much as hundreds of steps. */
  private static final int HEALED_SHARE = 500;

  private static final long MOST_STATES = 40_000_000;

  private ModelCheck() {}

  public static void main(final String[] args) {
    // Before the first event: millions of starts would each say that a log opened.
    System.setProperty("tinylog.level", "off");
    final boolean fine =
        switch (args[0]) {
          case "search" -> search(args);
          case "walks" -> walks(args);
          case "replay" -> replay(args);
          default -> throw new IllegalArgumentException(args[0]);
        };
    System.exit(fine ? 0 : 1);
  }

  private static List<ModelSetup> setups(final String name) {
    return name.equals("all") ? ModelSetup.ALL : List.of(ModelSetup.named(name));
  }

  private static boolean search(final String[] args) {
    boolean fine = true;
    for (final ModelSetup setup : setups(args[1])) {
      final ModelSearch.Result result =
          new ModelSearch(setup, ModelFault.NONE, THREADS, HEALED_SHARE)
              .run(Integer.parseInt(args[2]), MOST_STATES, Long.parseLong(args[3]) * 60_000);
      System.out.println(result);
      fine &= result.finding() == null;
    }
    return fine;
  }

  private static boolean walks(final String[] args) {
    final long first = Long.parseLong(args[4]);
    boolean fine = true;
    for (final ModelSetup setup : setups(args[1])) {
      final long startNs = System.nanoTime();
      final AtomicLong next = new AtomicLong(first);
      final AtomicLongArray reached = new AtomicLongArray(5);
      final AtomicLong broken = new AtomicLong();
      ModelThreads.run(
          THREADS,
          () -> {
            final ModelWalks walks =
                new ModelWalks(setup, ModelFault.NONE, Integer.parseInt(args[3]));
            for (long seed = next.getAndIncrement();
                seed < first + Long.parseLong(args[2]) && broken.get() < 3;
                seed = next.getAndIncrement()) {
              final ModelFinding finding = walks.walk(seed);
              if (finding != null) {
                broken.incrementAndGet();
                System.out.println("seed " + seed + " " + finding.shrunk());
              }
            }
            final long[] own = walks.reached();
            for (int at = 0; at < own.length; at++) {
              reached.addAndGet(at, own[at]);
            }
          });
      System.out.println(
          setup.name()
              + ": walks "
              + args[2]
              + " from "
              + first
              + ": steps, terms, acknowledged, voter changes, lost disks "
              + reached
              + ", "
              + (System.nanoTime() - startNs) / 1_000_000
              + " ms, broken "
              + broken);
      fine &= broken.get() == 0;
    }
    return fine;
  }

  private static boolean replay(final String[] args) {
    final String steps = String.join(" ", List.of(args).subList(3, args.length));
    final ModelFinding finding =
        ModelFinding.replay(
            ModelSetup.named(args[1]), ModelFault.valueOf(args[2]), ModelStep.parse(steps));
    System.out.println(finding == null ? "no invariant broken" : finding);
    return finding == null;
  }
}
