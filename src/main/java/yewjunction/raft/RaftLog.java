package yewjunction.raft;

import java.util.ArrayList;
import java.util.List;

/** The entries in memory, behind the last snapshot. */
final class RaftLog {
  private final ArrayList<LogEntry> entries = new ArrayList<>();

  /** Those of the entries that change voters: few, and asked for at every turn. */
  private final ArrayList<LogEntry> voterChanges = new ArrayList<>();

  private long baseIndex;
  private long baseTerm;
  private List<String> baseVoters = List.of();

  void reset(final long index, final long term, final List<String> voters) {
    entries.clear();
    voterChanges.clear();
    baseIndex = index;
    baseTerm = term;
    baseVoters = List.copyOf(voters);
  }

  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term;
  }

  /** The term at an index, or -1 where the log does not reach. */
  long termAt(final long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    return index < baseIndex || index > lastIndex() ? -1 : get(index).term;
  }

  LogEntry get(final long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  void append(final LogEntry entry) {
    // Invariant: indices follow without gap and terms never fall.
    if (entry.index != lastIndex() + 1 || entry.term < lastTerm()) {
      throw new IllegalStateException(
          "entry " + entry.index + "/" + entry.term + " after " + lastIndex() + "/" + lastTerm());
    }
    entries.add(entry);
    if (entry.kind == LogEntry.VOTERS) {
      voterChanges.add(entry);
    }
  }

  void cutFrom(final long index) {
    while (lastIndex() >= index && !entries.isEmpty()) {
      entries.remove(entries.size() - 1);
    }
    voterChanges.removeIf(entry -> entry.index >= index);
  }

  void dropTo(final long index) {
    final long newTerm = termAt(index);
    if (newTerm < 0 || index <= baseIndex) {
      return;
    }
    baseVoters = votersAt(index);
    entries.subList(0, (int) (index - baseIndex)).clear();
    voterChanges.removeIf(entry -> entry.index <= index);
    baseIndex = index;
    baseTerm = newTerm;
    entries.trimToSize();
  }

  /** Whether what begins there is more than so many entries or bytes. */
  boolean exceeds(final long from, final int mostEntries, final int mostBytes) {
    long bytes = 0;
    for (long at = from;
        at <= lastIndex() && at - from <= mostEntries && bytes <= mostBytes;
        at++) {
      bytes += get(at).data.length;
    }
    return lastIndex() - from >= mostEntries || bytes > mostBytes;
  }

  /** How far back of an index the log reaches within so many entries and bytes. */
  long reachBack(final long index, final int mostEntries, final int mostBytes) {
    long start = index;
    long bytes = 0;
    while (start > baseIndex && index - start < mostEntries && bytes < mostBytes) {
      bytes += get(start).data.length;
      start--;
    }
    return start;
  }

  /** The voters in force when the log ends at that index. */
  List<String> votersAt(final long index) {
    for (int place = voterChanges.size() - 1; place >= 0; place--) {
      if (voterChanges.get(place).index <= index) {
        return RaftStorage.votersOf(voterChanges.get(place).data);
      }
    }
    return baseVoters;
  }

  long lastVotersIndex() {
    return voterChanges.isEmpty() ? baseIndex : voterChanges.get(voterChanges.size() - 1).index;
  }

  List<LogEntry> slice(final long from, final int mostEntries, final int mostBytes) {
    final List<LogEntry> chosen = new ArrayList<>();
    int bytes = 0;
    for (long at = from;
        at <= lastIndex() && chosen.size() < mostEntries && bytes < mostBytes;
        at++) {
      final LogEntry entry = get(at);
      chosen.add(entry);
      bytes += entry.data.length + 32;
    }
    return chosen;
  }
}
