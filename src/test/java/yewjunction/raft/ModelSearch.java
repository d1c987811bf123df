package yewjunction.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Every schedule of a setup, breadth first: a state is a digest, reached again by running its
 * schedule from the start. Each state is left once, by its shortest schedule; so all states within
 * the depth are seen, and none twice.
 */
final class ModelSearch {
  private final ModelSetup setup;
  private final ModelFault fault;
  private final int threads;

  /** Of so many states one is also healed and must go on; 0 for none. */
  private final int healedShare;

  private final ModelStates states = new ModelStates();
  private final AtomicLong transitions = new AtomicLong();
  private final AtomicLong healed = new AtomicLong();
  private volatile ModelFinding finding;
  private final List<Integer> widths = new ArrayList<>();

  /** What a search saw; complete when no state within the depth was left out. */
  record Result(
      String setup,
      int depth,
      boolean complete,
      long states,
      long transitions,
      long healed,
      List<Integer> widths,
      long ms,
      ModelFinding finding) {
    @Override
    public String toString() {
      return setup
          + ": depth "
          + depth
          + (complete ? "" : " (of the next one a part)")
          + ", "
          + states
          + " states, "
          + transitions
          + " transitions, "
          + healed
          + " healed, "
          + ms
          + " ms, new states by depth "
          + widths
          + (finding == null ? ", no invariant broken" : ", BROKEN " + finding);
    }
  }

  ModelSearch(
      final ModelSetup setup, final ModelFault fault, final int threads, final int healedShare) {
    this.setup = setup;
    this.fault = fault;
    this.threads = threads;
    this.healedShare = healedShare;
  }

  /** Ends at the depth, at the number of states, or with the first broken invariant. */
  Result run(final int mostDepth, final long mostStates, final long mostMs) {
    final long startNs = System.nanoTime();
    List<String> frontier = List.of("");
    states.add(ModelDigest.of(new ModelWorld(setup, fault)));
    int depth = 0;
    boolean complete = true;
    while (depth < mostDepth && !frontier.isEmpty() && finding == null && complete) {
      final List<String> level = frontier;
      final ConcurrentLinkedQueue<List<String>> found = new ConcurrentLinkedQueue<>();
      final AtomicInteger next = new AtomicInteger();
      final Runnable work =
          () -> {
            final List<String> fresh = new ArrayList<>();
            for (int at = next.getAndIncrement();
                at < level.size()
                    && finding == null
                    && states.size() < mostStates
                    && (System.nanoTime() - startNs) / 1_000_000 < mostMs;
                at = next.getAndIncrement()) {
              expand(level.get(at), fresh);
            }
            found.add(fresh);
          };
      ModelThreads.run(threads, work);
      complete = next.get() >= level.size() + threads && finding == null;
      frontier = new ArrayList<>();
      found.forEach(frontier::addAll);
      if (complete) {
        depth++;
        widths.add(frontier.size());
      }
    }
    return new Result(
        setup.name(),
        depth,
        complete,
        states.size(),
        transitions.get(),
        healed.get(),
        List.copyOf(widths),
        (System.nanoTime() - startNs) / 1_000_000,
        finding);
  }

  private void expand(final String schedule, final List<String> fresh) {
    ModelWorld world = new ModelWorld(setup, fault).run(schedule);
    final String steps = world.enabled();
    for (int at = 0; at < steps.length() && finding == null; at++) {
      final String longer = schedule + steps.charAt(at);
      boolean afterwards = false;
      try {
        if (world == null) {
          world = new ModelWorld(setup, fault).run(schedule);
        }
        world.apply(steps.charAt(at));
        transitions.incrementAndGet();
        final long digest = ModelDigest.of(world);
        if (states.add(digest)) {
          fresh.add(longer);
          if (healedShare > 0 && Long.remainderUnsigned(digest, healedShare) == 0) {
            healed.incrementAndGet();
            afterwards = true;
            world.goesOn();
          }
        }
      } catch (final ModelViolation violation) {
        finding = new ModelFinding(setup, fault, longer, afterwards, violation.getMessage());
      }
      world = null;
    }
  }
}
