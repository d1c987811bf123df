package yewjunction.system;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether calls that overlapped can have happened one by one on a plain register with
 * compare-and-set: Wing and Gong's search, with a memory of what was tried. A call without a clear
 * answer may have taken effect at any time later, or never.
 */
final class LinearizabilityChecker {
  /** Of calls that never returned. */
  static final long NEVER = Long.MAX_VALUE;

  /**
   * An order (change: what it writes) or a look (change null: the version and the text it read, 0
   * for nothing).
   */
  record Call(
      long base,
      long version,
      String change,
      String read,
      int status,
      long calledMs,
      long returnedMs) {
    boolean clear() {
      return status == 200 || status == 412 || status == 404;
    }

    String written() {
      return version + " " + change + " on " + base;
    }
  }

  private final List<Call> clear = new ArrayList<>();
  private final List<Call> unclear = new ArrayList<>();
  private final Set<String> tried = new HashSet<>();
  private final BitSet done = new BitSet();

  /** What was taken, in order. */
  private final List<Call> taken = new ArrayList<>();

  int steps;

  LinearizabilityChecker(final List<Call> calls) {
    calls.forEach(call -> (call.clear() ? clear : unclear).add(call));
    clear.sort(java.util.Comparator.comparingLong(Call::calledMs));
    // Looks without an answer say nothing.
    unclear.removeIf(call -> call.change == null);
  }

  /** True when there is an order of all calls in which each answer is the register's. */
  boolean linearizes() {
    if (done.cardinality() == clear.size()) {
      return true;
    }
    steps++;
    if (!tried.add(done + " " + taken.stream().map(Call::written).toList())) {
      return false;
    }
    final long firstReturnMs = firstReturnMs();
    return canTakeClear(firstReturnMs) || canTakeUnclear(firstReturnMs);
  }

  /** When the first of the calls that are not in the order yet returned. */
  private long firstReturnMs() {
    long first = NEVER;
    for (int at = done.nextClearBit(0); at < clear.size(); at = done.nextClearBit(at + 1)) {
      first = Math.min(first, clear.get(at).returnedMs);
    }
    return first;
  }

  /** Whether the order continues with a call that has an answer, made before any other returned. */
  private boolean canTakeClear(final long firstReturnMs) {
    for (int at = done.nextClearBit(0);
        at < clear.size() && clear.get(at).calledMs <= firstReturnMs;
        at = done.nextClearBit(at + 1)) {
      final Call call = clear.get(at);
      final boolean takes = call.change != null && call.status == 200 && !holds(call);
      if (allows(call)) {
        done.set(at);
        if (canContinue(takes ? call : null)) {
          return true;
        }
        done.clear(at);
      }
    }
    return false;
  }

  /** Whether the order continues with a call without an answer, which takes effect now. */
  private boolean canTakeUnclear(final long firstReturnMs) {
    for (final Call call : unclear) {
      if (call.calledMs <= firstReturnMs
          && call.base == version()
          && !holds(call)
          && canContinue(call)) {
        return true;
      }
    }
    return false;
  }

  private boolean canContinue(final Call taking) {
    if (taking != null) {
      taken.add(taking);
    }
    final boolean found = linearizes();
    if (taking != null) {
      taken.remove(taken.size() - 1);
    }
    return found;
  }

  private long version() {
    return taken.isEmpty() ? 0 : taken.get(taken.size() - 1).version;
  }

  private boolean holds(final Call call) {
    return taken.stream().anyMatch(one -> one.written().equals(call.written()));
  }

  private boolean allows(final Call call) {
    if (call.change == null) {
      return call.version == version()
          && (taken.isEmpty() || call.read.contains(taken.get(taken.size() - 1).change));
    }
    return call.status == 200
        ? holds(call) || call.base == version()
        : !holds(call) && call.base != version();
  }
}
